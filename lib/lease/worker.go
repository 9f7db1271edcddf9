// Package lease runs tasks on a worker that works under a lease. The agent is
// the only one that calls the worker: it decides on its capacity, its runs and
// its lease, whoever asks.
package lease

import "context"

// Worker is a leased worker as its agent calls it. An error means that the call
// may have been carried out, or may still be.
type Worker interface {
	// Start has one run started.
	Start(ctx context.Context, q Start) (Answer, error)
	// Stop has one run stopped, and bars it where it has not arrived yet.
	Stop(ctx context.Context, q Stop) (Answer, error)
	// Hold extends the lease and tells what runs and what has ended.
	Hold(ctx context.Context, q Hold) (Report, error)
}

// Start is the order to start a run. Times are milliseconds of the worker's
// clock.
type Start struct {
	Task           string
	Run            uint32
	Spec           string
	DeadlineMillis int64
	Fence          uint64
	// Life is the id that the worker announced; under any other it refuses.
	Life string
}

// Stop is the order to stop a run.
type Stop struct {
	Task  string
	Run   uint32
	Fence uint64
	Life  string
}

// Hold extends the worker's lease to DeadlineMillis, takes note of the ends up
// to Cursor, and waits at most WaitMillis for another one.
type Hold struct {
	DeadlineMillis int64
	Fence          uint64
	Cursor         uint64
	WaitMillis     int64
	Life           string
}

// Refusal says why a worker refused an order.
type Refusal string

// The refusals of a worker.
const (
	// Accepted is no refusal: the order is carried out.
	Accepted Refusal = ""
	// RefusedFence means that a higher fence was seen.
	RefusedFence Refusal = "fence"
	// RefusedOld means that this run, or a higher one, was stopped or has ended.
	RefusedOld Refusal = "old"
	// RefusedLate means that the deadline has passed.
	RefusedLate Refusal = "late"
	// RefusedRoom means that the worker lacks capacity.
	RefusedRoom Refusal = "room"
	// RefusedLife means that the worker has another life than the one meant.
	RefusedLife Refusal = "life"
	// RefusedUnwell means that an unwell worker has done nothing.
	RefusedUnwell Refusal = "unwell"
	// RefusedInvalid means that the worker can't read the order.
	RefusedInvalid Refusal = "invalid"
)

// Answer is a worker's answer to an order. ClockMillis is 0 where it told none.
type Answer struct {
	Refusal     Refusal
	ClockMillis int64
}

// Report is a worker's answer to a hold.
type Report struct {
	Answer
	// Born is the start of the worker's life in Unix milliseconds, 0 unknown.
	Born    int64
	Running []Running
	Ended   []Ended
	// Partial is set where Ended may lack ends, the newest.
	Partial bool
}

// Running is one run at a worker.
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

// Ended is one end that a worker lists. Number grows within a life from 1.
type Ended struct {
	Number uint64
	Task   string
	Run    uint32
	How    How
}

// Announcement is what a worker says of itself.
type Announcement struct {
	ID      string
	Service string
	// Born is the start of the worker's life in Unix milliseconds.
	Born int64
	// Sequence grows with each announcement of a life.
	Sequence uint64
	// ClockMillis is the worker's clock.
	ClockMillis int64
	// Address at which the worker takes calls.
	Address      string
	Draining     bool
	CPUMillis    int64
	MemoryMB     int64
	Accelerators int64
	Labels       []string
}
