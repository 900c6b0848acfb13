package sched

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// EntryName identifies an entry within a deployment.
type EntryName string

// WorkerName identifies a worker within a deployment.
type WorkerName string

// DataCentre names a data centre.
type DataCentre string

// ServiceName names a service: what callers send requests to ([Service]), or a
// group of workers that run tasks of workflows ([Pool]).
type ServiceName string

// TeamName names a team that owns services and jobs and has a quota.
type TeamName string

// ClassName names a class of batch tasks.
type ClassName string

// JobID identifies a job.
type JobID string

// TaskID identifies a task: the job and the index of the task in it.
type TaskID struct {
	Job   JobID
	Index int
}

// String returns the form "job.index".
func (t TaskID) String() string { return string(t.Job) + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that [TaskID.String] returns.
func ParseTaskID(s string) (TaskID, error) {
	i := strings.LastIndexByte(s, '.')
	if i <= 0 {
		return TaskID{}, eris.Errorf("task id %q: want job.index", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return TaskID{}, eris.Errorf("task id %q: index is not a number", s)
	}
	return TaskID{Job: JobID(s[:i]), Index: n}, nil
}

// Epoch is the fencing token of a shard. It increases with each change of
// owner and never decreases.
type Epoch uint64

// Revision numbers accepted configurations, strictly increasing from 1.
type Revision uint64

// ShardID identifies a shard, the unit of ownership of workers, idempotency
// keys and jobs.
type ShardID struct {
	DataCentre DataCentre
	Index      int
}

// String returns the form "data-centre/index".
func (s ShardID) String() string { return string(s.DataCentre) + "/" + strconv.Itoa(s.Index) }

// ParseShardID parses the form that [ShardID.String] returns.
func ParseShardID(s string) (ShardID, error) {
	i := strings.LastIndexByte(s, '/')
	if i <= 0 {
		return ShardID{}, eris.Errorf("shard id %q: want data-centre/index", s)
	}
	n, err := strconv.Atoi(s[i+1:])
	if err != nil || n < 0 {
		return ShardID{}, eris.Errorf("shard id %q: index is not a number", s)
	}
	return ShardID{DataCentre: DataCentre(s[:i]), Index: n}, nil
}

// MarshalText implements encoding.TextMarshaler, so that shard IDs can be map
// keys in JSON.
func (s ShardID) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *ShardID) UnmarshalText(b []byte) error {
	v, err := ParseShardID(string(b))
	if err != nil {
		return err
	}
	*s = v
	return nil
}

// Layout lists shards in the order of the ownership table. Keys and jobs map only
// to the shards with which that table was created, and so never move to another
// shard. Shards of a data centre that is added later are appended.
type Layout []ShardID

// NewLayout returns perDataCentre shards for each data centre.
func NewLayout(dcs []DataCentre, perDataCentre int) Layout {
	l := make(Layout, 0, len(dcs)*perDataCentre)
	for _, dc := range dcs {
		for i := range perDataCentre {
			l = append(l, ShardID{DataCentre: dc, Index: i})
		}
	}
	return l
}

// ShardOf returns the shard of a name that is not bound to a data centre: an
// idempotency key or a job. The layout must hold only the shards with which the
// ownership table was created, and at least one.
func (l Layout) ShardOf(name string) ShardID {
	return l[xxhash.Sum64String(name)%uint64(len(l))]
}

// ShardOfWorker returns the shard of a worker. It reports false if the
// layout has no shard in the worker's data centre.
func (l Layout) ShardOfWorker(w WorkerName, dc DataCentre) (ShardID, bool) {
	n := 0
	for _, s := range l {
		if s.DataCentre == dc {
			n++
		}
	}
	if n == 0 {
		return ShardID{}, false
	}
	return ShardID{DataCentre: dc, Index: int(xxhash.Sum64String(string(w)) % uint64(n))}, true
}
