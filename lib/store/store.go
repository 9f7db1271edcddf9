// Package store stores durable jobs in a replicated log. A job is on the disks
// of a quorum before its submission is answered, so it survives the failure of
// any process that handles it. Machine is the replicated state, Service serves
// calls on the hosts of the log, and Client calls them.
package store

import (
	"time"

	"skylarklane.example/lib/wire"
)

// Reasons for which a request is refused.
const (
	// ReasonFull means that the store has reached a limit. The job never runs.
	ReasonFull = "storeFull"
	// ReasonOtherContent means that a job of the same id but different content
	// is stored.
	ReasonOtherContent = "otherContent"
	// ReasonBadJob means that the job has no id or no owner.
	ReasonBadJob = "badJob"
	// ReasonNotMember means that the owner was declared dead or never joined.
	ReasonNotMember = "notMember"
	// ReasonUnknownJob means that no such job is stored.
	ReasonUnknownJob = "unknownJob"
	// ReasonNotOwner means that the job now belongs to another owner.
	ReasonNotOwner = "notOwner"
)

const (
	// StatusRetention is the minimum time for which the state of an ended job
	// can be read.
	StatusRetention = 120 * time.Second
	// ClaimDelay is how long after its owner's death a job may be claimed. By
	// then the owner's sessions with agents have ended, and so have the task
	// runs that it started.
	ClaimDelay = wire.SessionLength + wire.RunGrace + claimMargin
	// claimMargin allows for clocks that run at different rates.
	claimMargin = 700 * time.Millisecond
)

// Limits bound the size of a store. They must be the same on all hosts.
type Limits struct {
	// Jobs is the maximum number of stored jobs, ended ones included.
	Jobs int
	// Bytes is the maximum size of the stored jobs, including the space
	// reserved for the records of their tasks.
	Bytes int
}

// DefaultLimits suit hosts with 284 MB of memory and 128 MB of disk.
func DefaultLimits() Limits { return Limits{Jobs: 50_000, Bytes: 16 << 20} }

const (
	// recordBytes is the size counted for a job without its content and tasks.
	recordBytes = 256
	// taskBytes is the size counted for a task without its checkpoint.
	taskBytes = 72
)

// isTerminal reports whether a job in this state has ended.
func isTerminal(state wire.JobState) bool { return state >= wire.JobState_JOB_STATE_COMPLETED }
