package leader

import (
	"time"

	"github.com/mangoslip/mangoslip/pkg/sched/flow"
)

// evacuationsInterval is the interval between reads of the evacuations. With the lease
// of a run (4 s), for which a start that is held up may still be carried out, it stays
// within the 5 s in which an evacuation takes effect.
const evacuationsInterval = 900 * time.Millisecond

// readsEvacuations reports whether data centres can be evacuated.
func (t *term) readsEvacuations() bool { return t.l.EvacuationsPrefix != "" }

// pollEvacuations polls the keys that evacuate data centres. There are few of them, so
// one short read a second costs less than another watch.
func (t *term) pollEvacuations() {
	t.poll("read evacuations", t.l.EvacuationsPrefix, evacuationsInterval, t.postEvacuations)
}

func (t *term) postEvacuations(r reading) {
	dataCentres, invalid := t.l.DecodeEvacuations(r.items)
	t.logInvalid("evacuations", invalid)
	t.contact.evacuationsRead(r.asked)
	t.post(flow.EvacuationsMsg{DataCentres: dataCentres, Asked: r.asked})
}
