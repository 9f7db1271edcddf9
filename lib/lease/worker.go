// Package lease runs tasks on a worker under a lease. The agent is the only
// caller of the worker: on behalf of all entries, it allocates the worker's
// capacity, starts and stops runs, and extends the lease.
package lease

import "context"

// Worker is the client of a leased worker. If a call returns an error, the
// worker may have carried it out, or may do so later.
type Worker interface {
	// Start starts one run.
	Start(ctx context.Context, q Start) (Answer, error)
	// Stop stops one run. If the start of the run arrives later, the worker
	// refuses it.
	Stop(ctx context.Context, q Stop) (Answer, error)
	// Hold extends the lease, and returns which runs are running and which
	// have ended.
	Hold(ctx context.Context, q Hold) (Report, error)
	// Close ends the connections that are not in use, and the others after their
	// calls.
	Close()
}

// Start is the order to start a run. DeadlineMillis is the reading of the
// worker's clock to which the lease is extended.
type Start struct {
	Task           string
	Run            uint32
	Spec           string
	DeadlineMillis int64
	Fence          uint64
	// WorkerID is the id that the worker announced; a worker with another id
	// refuses the order.
	WorkerID string
}

// Stop is the order to stop a run.
type Stop struct {
	Task     string
	Run      uint32
	Fence    uint64
	WorkerID string
}

// Hold is the order to extend the worker's lease to DeadlineMillis. It
// acknowledges the ends up to number Cursor, and the worker delays its answer by
// at most WaitMillis until another run ends.
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
	// RefusedFence means that the worker has accepted an order with a higher
	// fence.
	RefusedFence Refusal = "fence"
	// RefusedOld means that this run, or one of the same task with a higher
	// number, was stopped or has ended.
	RefusedOld Refusal = "old"
	// RefusedLate means that the deadline has passed.
	RefusedLate Refusal = "late"
	// RefusedCapacity means that the worker lacks capacity.
	RefusedCapacity Refusal = "room"
	// RefusedIncarnation means that the order was meant for another
	// incarnation of the worker.
	RefusedIncarnation Refusal = "life"
	// RefusedSuccessor means that another incarnation has answered under the
	// worker's id, and the order was not sent.
	RefusedSuccessor Refusal = "successor"
	// RefusedUnhealthy means that the worker is unhealthy or overloaded, and
	// did not carry out the order.
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
	// Unreadable is the number of rows that are left out because they can't be
	// read, other than those in Ended.
	Unreadable int
}

// Running identifies one run at a worker.
type Running struct {
	Task string
	Run  uint32
}

// How is how a run ended at its worker.
type How string

// The outcomes of a run. Lapsed means that the lease expired before the run
// ended. Failed, Broken and Alone are all reported to entries as failed.
const (
	Done    How = "done"
	Failed  How = "failed"
	Stopped How = "stopped"
	Lapsed  How = "lapsed"
	Broken  How = "broken"
	Alone   How = "alone"
)

// Ended is the end of one run, as listed by a worker. Number counts the ends of
// an incarnation from 1. Task is empty if the end can't be read otherwise.
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
	// ClockMillis is a reading of the worker's clock. Leases are not counted by
	// it.
	ClockMillis int64
	// Address is where the worker accepts calls.
	Address      string
	Draining     bool
	CPUMillis    int64
	MemoryMB     int64
	Accelerators int64
	Labels       []string
}
