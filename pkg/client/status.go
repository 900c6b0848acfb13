package client

import (
	"context"
	"net/http"

	"github.com/mangoslip/mangoslip/pkg/sched"
)

// Status is the response to GET /v1/status: the state of the deployment as one
// entry sees it.
type Status struct {
	// Revision is the accepted revision of the services text.
	Revision sched.Revision
	// InForce is the revision that this entry applies.
	InForce  sched.Revision
	Entries  []EntryStatus
	Services []ServiceStatus
	// Damaged lists the damage that keeps shards of this entry from being served.
	Damaged []DamagedBatch `json:",omitempty"`
}

// DamagedBatch is a batch of a shard's journal, or a shard's snapshot, that
// cannot be read.
type DamagedBatch struct {
	Shard sched.ShardID
	// Seq is the sequence number of the batch; 0 if the snapshot is damaged.
	Seq uint64
	// Error says what is wrong with it.
	Error string
}

// EntryStatus is one entry of the instance list.
type EntryStatus struct {
	Name       sched.EntryName
	DataCentre sched.DataCentre
	State      sched.InstanceState
	// InForce is the revision that the entry last reported, 0 if unknown.
	InForce sched.Revision
	// Shards lists the shards that the entry owns.
	Shards []sched.ShardID
}

// ServiceStatus is one service of the configuration in force.
type ServiceStatus struct {
	Name  sched.ServiceName
	State sched.ServiceState
	// BlockedBy is the dependency that is not started, if any.
	BlockedBy sched.ServiceName
	// Busy is the number of busy slots.
	Busy   int
	Slots  int
	Queued int
}

// Status returns the state of the deployment as the entry sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.callJSON(ctx, &s, http.MethodGet, "/v1/status", nil, nil)
	return s, err
}

// Lagging returns the live entries that have not reported a revision of at
// least r.
func (s *Status) Lagging(r sched.Revision) []sched.EntryName {
	var out []sched.EntryName
	for _, e := range s.Entries {
		if e.State == sched.StateLive && e.InForce < r {
			out = append(out, e.Name)
		}
	}
	return out
}
