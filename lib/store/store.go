// Package store keeps accepted jobs in a replicated log, so that they outlive
// every process that knows of them. Machine is the state, Service answers calls
// on the hosts of the log, and Client calls them.
package store

import (
	"time"

	"skylarklane.example/lib/wire"
)

// Reasons of refusals.
const (
	// ReasonFull means that the store has no room: the job never runs.
	ReasonFull = "storeFull"
	// ReasonOtherContent means that the id belongs to a job of other content.
	ReasonOtherContent = "otherContent"
	// ReasonBadJob means that the job has no id, or no owner.
	ReasonBadJob = "badJob"
	// ReasonNotMember means that the owner is declared dead, or never joined.
	ReasonNotMember = "notMember"
	// ReasonUnknownJob means that no such job is stored.
	ReasonUnknownJob = "unknownJob"
	// ReasonNotOwner means that the job is another owner's now.
	ReasonNotOwner = "notOwner"
)

const (
	// StatusKept is how long an ended job can be asked for at least.
	StatusKept = 120 * time.Second
	// ClaimWait is how long after its owner's death a job may be claimed: the
	// sessions that the owner had at agents and their runs are over by then.
	ClaimWait = wire.SessionLength + wire.RunGrace + claimMargin
	// claimMargin allows for clocks that run at different speeds.
	claimMargin = 700 * time.Millisecond
)

// Limits bound a store. They must be the same on all hosts.
type Limits struct {
	// Jobs that are stored, ended ones included.
	Jobs int
	// Bytes that the jobs may take, with room for what is noted of their tasks.
	Bytes int
}

// DefaultLimits suit hosts of 284 MB of memory and 128 MB of disk.
func DefaultLimits() Limits { return Limits{Jobs: 50_000, Bytes: 16 << 20} }

const (
	// recordBytes is what a job takes besides its content.
	recordBytes = 256
	// taskBytes is what a task takes besides its checkpoint.
	taskBytes = 72
)

// isLast tells whether a state stays for good.
func isLast(state wire.JobState) bool { return state >= wire.JobState_JOB_STATE_COMPLETED }
