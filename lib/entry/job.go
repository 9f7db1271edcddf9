package entry

import (
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// Job is a held submission that this entry coordinates.
type Job struct {
	Key  string
	Spec *wire.JobSpec
	// Settled are the tasks that a takeover has accounted for; they must not
	// start again.
	Settled []*wire.TaskStatus
	// Deadline of the job; zero counts the deadline of Spec, or of the kind,
	// from now.
	Deadline time.Time
}

// reasonUnreachable is the agent's reason where it could not reach a backend
// server and so did not start the task.
const reasonUnreachable = "backendServerUnreachable"

// Reasons why a job fails.
const (
	reasonDeadline  = "deadlineExceeded"
	reasonCancelled = "cancelled"
	reasonLost      = "agentLost"
	reasonUnknown   = "unknownOutcome"
	reasonFailed    = "taskFailed"
)

// run is a job on its way. The dispatcher's lock guards it.
type run struct {
	key      string
	spec     *wire.JobSpec
	desk     *desk
	kind     *kindState
	team     *team
	urgency  wire.Urgency
	deadline time.Time
	// order of arrival.
	order uint64

	ready   []*task
	started map[uint32]*task
	left    int
	results [][]byte
	outcome *wire.Outcome
	done    chan struct{}
	// place in the heap of its team, -1 while it isn't there.
	place int
}

// ended tells whether the outcome stands.
func (r *run) ended() bool { return r.outcome != nil }

// task is one task of a job.
type task struct {
	run    *run
	number uint32
	// expected run time at a worker of factor 1.
	expected time.Duration
	class    int

	// server and startedAt are set while it is started.
	server    *server
	startedAt time.Time
	// barred are the agents that must not start it any more.
	barred map[*agent]bool
}

// expectedAt returns the expected run time at the server that runs the task, by
// what is known now.
func (t *task) expectedAt() time.Duration {
	return time.Duration(float64(t.run.kind.expected(t.class)) * t.server.speed.Value())
}

// remaining returns how long the task is expected to run on.
func (t *task) remaining(now time.Time) time.Duration {
	return placement.Remaining(t.expectedAt(), now.Sub(t.startedAt))
}
