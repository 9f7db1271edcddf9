package lease

import (
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/wire"
)

// phase is the progress of a run. A run passes through the phases in this
// order; it may skip some.
type phase int

const (
	// accepted means that no start was sent. Capacity is reserved unless the run
	// waits for it in the queue.
	accepted phase = iota
	// starting means that a start was sent and the worker hasn't confirmed the
	// run.
	starting
	// running means that the worker has confirmed the run.
	running
	// stopping means that the run is being stopped and the worker hasn't
	// acknowledged a stop.
	stopping
	// awaitingEnd means that the worker won't start the run any more, and that
	// the end of the run, if it was started, has not been reported.
	awaitingEnd
	// ended means that the end is recorded.
	ended
)

// runKey identifies a run within its session.
type runKey struct {
	task    string
	attempt uint32
}

func keyOf(id *wire.RunId) runKey { return runKey{id.GetTask(), id.GetAttempt()} }

func (k runKey) wire() *wire.RunId { return &wire.RunId{Task: k.task, Attempt: k.attempt} }

// run is one run that this agent has accepted.
type run struct {
	key         runKey
	session     *session
	incarnation *incarnation
	need        capacity.Vector
	// expected is the expected run time at a worker of average speed; 0 if
	// unknown.
	expected time.Duration
	spec     string
	// claim is that of the run's job; nil if it needs none.
	claim *claim
	// epoch is the epoch of the job's owner; 0 unless the job is durable.
	epoch uint64
	// number identifies the run at the worker.
	number uint32
	// step is the amount by which number was last raised.
	step  uint32
	phase phase
	// unanswered is set once a start with this number got no answer.
	unanswered bool
	// confirmed is set once the worker has accepted the start or listed the
	// run.
	confirmed bool
	// precedingHold is the number of the last hold sent before the run
	// entered its present phase. Only reports to later holds reflect that
	// phase.
	precedingHold uint64
	// fence is the fence of the last start that was sent.
	fence uint64
	// reason is why the run is being stopped.
	reason string
	// leaseLimit is the reading of the agent's clock to which the lease of a
	// stopped run may last; 0 if only its session limits it.
	leaseLimit time.Duration
	// queueID identifies the run's place in the queue; 0 if it isn't queued.
	queueID uint64
	// waitUntil is the reading of the agent's clock at which the wait of a queued
	// run is over.
	waitUntil time.Duration
	// acceptedAt and startedAt are readings of the monotonic clock. The wait of a
	// queued run comes before acceptedAt.
	acceptedAt, startedAt time.Duration
}

// atWorker reports whether the worker may have the run or still receive it.
func (r *run) atWorker() bool { return r.phase >= starting && r.phase < ended }

// leaseBound returns the reading of the agent's clock to which the run's lease
// may last.
func (r *run) leaseBound(grace time.Duration) time.Duration {
	leaseBound := r.session.until + grace
	if r.leaseLimit > 0 {
		leaseBound = min(leaseBound, r.leaseLimit)
	}
	return leaseBound
}

// runTime returns the time from the start of the run to now.
func (r *run) runTime(now time.Duration) time.Duration {
	if r.startedAt == 0 {
		return 0
	}
	return now - r.startedAt
}
