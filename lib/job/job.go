// Package job runs jobs on leased workers: it places their tasks, restarts lost
// ones elsewhere, and answers once all have ended. Best-effort jobs are not
// stored: their callers resubmit them if the process fails. Durable jobs are stored.
package job

import (
	"time"

	"skylarklane.example/lib/wire"
)

// Job is a submitted job. All times are counted from Received.
type Job struct {
	ID      string
	Service string
	// Kind is the configuration of the job's kind at the time of the
	// submission.
	Kind  *wire.Kind
	Spec  []byte
	Steps []Step
	// Received is when the job arrived.
	Received time.Time
	// Deadline is when the caller stops waiting; the zero time means none.
	Deadline time.Time
}

// Step is a group of identical tasks.
type Step struct {
	Count    uint32
	Need     *wire.Resources
	Estimate time.Duration
	// After lists the earlier steps that must be completed first.
	After []int
	// Label is one that the worker must have, if not empty.
	Label string
	// Rack is the rack whose workers are preferred, if not empty.
	Rack string
	// MaxPerWorker bounds how many tasks of the step run on one worker at a
	// time; 0 means no bound.
	MaxPerWorker uint32
}

// State classifies the outcome of a job.
type State int

// The states of a job.
const (
	// Complete means that every task was completed.
	Complete State = iota + 1
	// Failed means that a task failed as often as its kind allows, or can't
	// be run.
	Failed
	// NotRun means that no task was or will be started.
	NotRun
	// Abandoned means that the caller disconnected, the deadline passed, or
	// the job was given up as too late; its runs are being stopped.
	Abandoned
)

// Outcome is the result of a job.
type Outcome struct {
	State State
	// Reason is a camelCase word, unless the job is complete.
	Reason string
	// RetryAfter is when to resubmit a job that was not run.
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
