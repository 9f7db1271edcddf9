package lease

import (
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/wire"
)

// phase is the progress of a run. A run goes through the phases in this
// order.
type phase int

const (
	// accepted means that capacity is reserved and no start was sent.
	accepted phase = iota
	// starting means that a start was sent and no answer confirms that it was
	// carried out.
	starting
	// running means that the worker has the run.
	running
	// stopping means that the run is to end and no stop was acknowledged.
	stopping
	// barred means that the run can't start any more and its end has not been
	// listed.
	barred
	// ended means that the end is known.
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
	// expected is the run time at a worker of average speed; 0 if unknown.
	expected time.Duration
	spec     string
	// epoch is that of the job's owner; 0 unless the job is durable.
	epoch uint64
	// number identifies the run at the worker.
	number uint32
	// step is the amount by which number was last raised.
	step  uint32
	phase phase
	// unanswered is set once a start under number got no answer.
	unanswered bool
	// confirmed is set once the worker has shown that the run is there.
	confirmed bool
	// precedingHold is the number of the last hold sent before the run
	// entered its present phase. Only reports to later holds reflect that
	// phase.
	precedingHold uint64
	// fence is that of the last start that was sent.
	fence uint64
	// reason is why the run is being stopped.
	reason string
	// limit is the reading of the agent's clock to which the lease of a
	// stopped run may last.
	limit time.Duration
	// Readings of the monotonic clock.
	acceptedAt, startedAt time.Duration
}

// atWorker reports whether the worker may have the run or still receive it.
func (r *run) atWorker() bool { return r.phase >= starting && r.phase < ended }

// bound returns the reading of the agent's clock to which the run's lease may
// last.
func (r *run) bound(grace time.Duration) time.Duration {
	bound := r.session.until + grace
	if r.limit > 0 {
		bound = min(bound, r.limit)
	}
	return bound
}

// ran returns how long the run has been running at now.
func (r *run) ran(now time.Duration) time.Duration {
	if r.startedAt == 0 {
		return 0
	}
	return now - r.startedAt
}
