package entry

import (
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// Job is a submission whose key this entry holds.
type Job struct {
	Key  string
	Spec *wire.JobSpec
	// Recovered are the states of tasks that a takeover has found at agents.
	// Tasks that have started must not start again.
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

// run is the dispatcher's state for one job that has not ended. It is guarded by
// the dispatcher's mutex.
type run struct {
	key          string
	spec         *wire.JobSpec
	serviceState *serviceState
	kind         *kindState
	team         *team
	urgency      wire.Urgency
	deadline     time.Time
	// place is where the job starts among those of its team and urgency.
	place admission.Place
	// order is a sequence number: of jobs with the same deadline, the one that
	// arrived first goes first.
	order uint64

	// queued are the tasks that wait to start, the next one last.
	queued []*task
	// started are the started tasks by number.
	started map[uint32]*task
	// unfinished counts the tasks without a result.
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
	run *run
	// number is the index of the task in its job.
	number uint32
	// expected is the expected run time at a worker with factor 1.
	expected time.Duration
	// class is the payload's size class.
	class int

	// server and startedAt are set while the task is started.
	server    *server
	startedAt time.Time
	// barred are the agents that will never start the task.
	barred map[*agent]bool
}

// expectedAtServer returns the expected run time at the task's server, by what
// has been learned up to now.
func (t *task) expectedAtServer() time.Duration {
	return time.Duration(float64(t.run.kind.expected(t.class)) * t.server.speed.Value())
}

// remaining returns how much longer the task is expected to run.
func (t *task) remaining(now time.Time) time.Duration {
	return placement.Remaining(t.expectedAtServer(), now.Sub(t.startedAt))
}
