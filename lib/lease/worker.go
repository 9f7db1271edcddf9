// Package lease runs tasks on a worker under a lease. The agent is the only
// caller of the worker: it alone decides on the worker's capacity, runs and
// lease, on behalf of all entries.
package lease

import "context"

// Worker is the client of a leased worker. After an error, the call may have
// been carried out, or may still be.
type Worker interface {
	// Start starts one run.
	Start(ctx context.Context, q Start) (Answer, error)
	// Stop stops one run; if its start has not arrived yet, the worker will
	// refuse it.
	Stop(ctx context.Context, q Stop) (Answer, error)
	// Hold extends the lease, and reports which runs exist and which have
	// ended.
	Hold(ctx context.Context, q Hold) (Report, error)
}

// Start is the order to start a run. Times are in milliseconds of the
// worker's clock.
type Start struct {
	Task           string
	Run            uint32
	Spec           string
	DeadlineMillis int64
	Fence          uint64
	// WorkerID is the id that the worker announced; a worker with another id
	// refuses.
	WorkerID string
}

// Stop is the order to stop a run.
type Stop struct {
	Task     string
	Run      uint32
	Fence    uint64
	WorkerID string
}

// Hold extends the worker's lease to DeadlineMillis, acknowledges the ends up
// to Cursor, and waits at most WaitMillis for another one.
type Hold struct {
	DeadlineMillis int64
	Fence          uint64
	Cursor         uint64
	WaitMillis     int64
	WorkerID       string
}

// Refusal is the reason for which a worker refused an order.
type Refusal string

// The refusals of a worker.
const (
	// Accepted means that the order was carried out.
	Accepted Refusal = ""
	// RefusedFence means that the worker has seen a higher fence.
	RefusedFence Refusal = "fence"
	// RefusedOld means that this run, or a higher one of its task, was
	// stopped or has ended.
	RefusedOld Refusal = "old"
	// RefusedLate means that the deadline has passed.
	RefusedLate Refusal = "late"
	// RefusedCapacity means that the worker lacks capacity.
	RefusedCapacity Refusal = "room"
	// RefusedIncarnation means that the order was meant for another incarnation of
	// the worker.
	RefusedIncarnation Refusal = "life"
	// RefusedUnhealthy means that the worker is unhealthy and has done nothing.
	RefusedUnhealthy Refusal = "unwell"
	// RefusedInvalid means that the worker can't parse the order.
	RefusedInvalid Refusal = "invalid"
)

// Answer is a worker's answer to an order. ClockMillis is 0 if the worker
// sent no clock reading.
type Answer struct {
	Refusal     Refusal
	ClockMillis int64
}

// Report is a worker's answer to a hold.
type Report struct {
	Answer
	// Born is when the worker started, in Unix milliseconds; 0 if unknown.
	Born    int64
	Running []Running
	Ended   []Ended
	// Partial is set if Ended may lack the newest ends.
	Partial bool
}

// Running identifies one run at a worker.
type Running struct {
	Task string
	Run  uint32
}

// How is how a run ended at its worker.
type How string

// The ends of a run.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Lapsed  How = "lapsed"
	Broken  How = "broken"
	Alone   How = "alone"
)

// Ended is one end that a worker lists. Number counts the ends of an
// incarnation from 1.
type Ended struct {
	Number uint64
	Task   string
	Run    uint32
	How    How
}

// Announcement is a worker's description of itself.
type Announcement struct {
	ID      string
	Service string
	// Born is when the worker started, in Unix milliseconds.
	Born int64
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	// ClockMillis is a reading of the worker's clock.
	ClockMillis int64
	// Address is where the worker accepts calls.
	Address      string
	Draining     bool
	CPUMillis    int64
	MemoryMB     int64
	Accelerators int64
	Labels       []string
}
