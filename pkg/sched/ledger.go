package sched

// Ledger keeps the free and reserved capacity of the workers of one shard. The
// pool machine implements it. The tasks machine of the same shard reserves
// capacity through it while the shard's lock is held, so that the slots of
// services and the batch tasks never reserve the same capacity twice.
type Ledger interface {
	// FreeCapacity returns the capacity that each worker has free for tasks
	// now. It leaves out workers that are leaving or ejected, and workers whose
	// load from earlier epochs is unknown. The slice is valid until the next
	// call.
	FreeCapacity() []WorkerCapacity
	// Reserve reserves resources on a worker. It reports false if they do not
	// fit now.
	Reserve(w WorkerName, r Resources) bool
	// Restore reserves resources for a task that already runs according to an
	// inventory, even if that exceeds the worker's capacity.
	Restore(w WorkerName, r Resources)
	// Release frees resources that Reserve or Restore has reserved.
	Release(w WorkerName, r Resources)
}
