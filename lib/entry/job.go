package entry

import (
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// Job is a submission whose key this entry holds.
type Job struct {
	Key  string
	Spec *wire.JobSpec
	// Recovered are the tasks whose state a takeover has found. Those that have
	// started must not start again.
	Recovered []*wire.TaskStatus
	// Deadline of the job. If zero, it is computed from now with the deadline
	// of Spec or of the kind.
	Deadline time.Time
}

// reasonUnreachable is the agent's reason for not starting a task because it
// could not reach the backend server.
const reasonUnreachable = "backendServerUnreachable"

// Reasons for the failure of a job.
const (
	reasonDeadline  = "deadlineExceeded"
	reasonCancelled = "cancelled"
	reasonLost      = "agentLost"
	reasonUnknown   = "unknownOutcome"
	reasonFailed    = "taskFailed"
)

// run is a job that runs or waits at the dispatcher, guarded by the
// dispatcher's mutex.
type run struct {
	key          string
	spec         *wire.JobSpec
	serviceState *serviceState
	kind         *kindState
	team         *team
	urgency      wire.Urgency
	deadline     time.Time
	// order is the sequence number of arrival, which breaks ties between
	// deadlines.
	order uint64

	ready      []*task
	started    map[uint32]*task
	unfinished int
	results    [][]byte
	outcome    *wire.Outcome
	done       chan struct{}
	// heapIndex is the index in the jobHeap of its team; -1 while it is not
	// queued.
	heapIndex int
}

// ended reports whether the job has an outcome.
func (r *run) ended() bool { return r.outcome != nil }

// task is one task of a job.
type task struct {
	run    *run
	number uint32
	// expected run time at a worker with factor 1.
	expected time.Duration
	class    int

	// server and startedAt are set while the task is started.
	server    *server
	startedAt time.Time
	// barred are the agents that will never start the task.
	barred map[*agent]bool
}

// expectedAt returns the current estimate of the run time at the task's server.
func (t *task) expectedAt() time.Duration {
	return time.Duration(float64(t.run.kind.expected(t.class)) * t.server.speed.Value())
}

// remaining returns how much longer the task is expected to run.
func (t *task) remaining(now time.Time) time.Duration {
	return placement.Remaining(t.expectedAt(), now.Sub(t.startedAt))
}
