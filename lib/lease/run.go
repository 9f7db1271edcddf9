package lease

import (
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/wire"
)

// phase is how far a run is, in the order in which a run goes through them.
type phase int

const (
	// accepted: reserved, no start was sent.
	accepted phase = iota
	// starting: a start was sent, and no answer tells that it was carried out.
	starting
	// running: the worker has it.
	running
	// stopping: it is to end, and no stop was acknowledged.
	stopping
	// barred: it can't start any more; its end has not been listed.
	barred
	// ended: its end is known.
	ended
)

// runKey names a run within its session.
type runKey struct {
	task    string
	attempt uint32
}

func keyOf(id *wire.RunId) runKey { return runKey{id.GetTask(), id.GetAttempt()} }

func (k runKey) wire() *wire.RunId { return &wire.RunId{Task: k.task, Attempt: k.attempt} }

// run is one run that this agent has accepted.
type run struct {
	key     runKey
	session *session
	life    *life
	need    capacity.Vector
	// expected run time at a worker of factor 1, 0 if unknown.
	expected time.Duration
	spec     string
	// number of the run at the worker.
	number uint32
	// step by which the number was last raised.
	step  uint32
	phase phase
	// unanswered is set once a start under number got no answer.
	unanswered bool
	// known is set once the worker has shown that the run is there.
	known bool
	// proof is the newest hold sent before the run's present phase was known;
	// later ones tell of it.
	proof uint64
	// fence of the last start that was sent.
	fence uint64
	// reason for which it is stopped.
	reason string
	// limit of its lease in the agent's clock once it is stopped.
	limit time.Duration
	// Readings of the steady clock.
	acceptedAt, startedAt time.Duration
}

// atWorker tells whether the worker may have the run, or get it.
func (r *run) atWorker() bool { return r.phase >= starting && r.phase < ended }

// bound is the reading of the agent's clock to which its lease may last.
func (r *run) bound(grace time.Duration) time.Duration {
	bound := r.session.until + grace
	if r.limit > 0 {
		bound = min(bound, r.limit)
	}
	return bound
}

// ran is how long it has run at now.
func (r *run) ran(now time.Duration) time.Duration {
	if r.startedAt == 0 {
		return 0
	}
	return now - r.startedAt
}
