// Package job runs best-effort jobs on leased workers: it places their tasks,
// starts a lost one again elsewhere, and answers once all have ended. Nothing
// of a job is stored; its caller sends it again if the process is lost.
package job

import (
	"time"

	"skylarklane.example/lib/wire"
)

// Job is one submission. All times are counted from Received.
type Job struct {
	ID      string
	Service string
	// Kind is as configured when the job came in.
	Kind  *wire.Kind
	Spec  []byte
	Steps []Step
	// Received is when the job came in.
	Received time.Time
	// Deadline is when the caller stops waiting; the zero time is none.
	Deadline time.Time
}

// Step is a group of like tasks.
type Step struct {
	Count    uint32
	Need     *wire.Resources
	Estimate time.Duration
	// After lists the earlier steps that must be done first.
	After []int
	// Label that the worker must have, if any.
	Label string
	// Rack whose workers are preferred, if any.
	Rack string
	// MaxPerWorker bounds how many tasks of the step run on one worker, 0 for
	// no bound.
	MaxPerWorker uint32
}

// State is how a job ended.
type State int

// The states of a job.
const (
	// Complete means that every task was done.
	Complete State = iota + 1
	// Failed means that a task failed as often as it may, or can't be run.
	Failed
	// NotRun means that no task was or will be started.
	NotRun
	// Abandoned means that the caller left, the deadline passed or the job was
	// given up as too late; what ran is being stopped.
	Abandoned
)

// Outcome is the end of a job.
type Outcome struct {
	State State
	// Reason is a camelCase word where the job is not complete.
	Reason string
	// RetryAfter is when to come back where the job was not run.
	RetryAfter time.Duration
}

// String returns the camelCase name of the state.
func (s State) String() string {
	switch s {
	case Complete:
		return "complete"
	case Failed:
		return "failed"
	case NotRun:
		return "notRun"
	case Abandoned:
		return "abandoned"
	}
	return "unknown"
}
