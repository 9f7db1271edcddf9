// Package job runs jobs on leased workers: it places their tasks, restarts lost
// ones elsewhere, and answers once all have ended. Best-effort jobs are not
// stored: their callers resubmit them if the process fails. Durable jobs are
// stored, and another entry takes them over if the process fails.
package job

import (
	"time"

	"skylarklane.example/lib/wire"
)

// Job is a submitted job. Its objective is counted from Received.
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
	// ranBefore is set if tasks have run, or may have, in an earlier attempt.
	ranBefore bool
	// claiming is the submission that asked other entries for the job; nil if there
	// are none.
	claiming *claiming
	// claimant is this entry, if agents have to claim the job for it; nil if it has
	// claimed the job itself.
	claimant *wire.Member
	// isElsewhere is set if another entry is known to have claimed the job.
	isElsewhere bool
}

// Step is a group of identical tasks.
type Step struct {
	Count    uint32
	Need     *wire.Resources
	Estimate time.Duration
	// After lists the earlier steps that must be completed first.
	After []int
	// Label is a label that the worker must have; empty for none.
	Label string
	// Rack is the label of the rack whose workers are preferred; empty for
	// none.
	Rack string
	// MaxPerWorker bounds how many tasks of the step run on one worker at a
	// time; 0 means no bound.
	MaxPerWorker uint32
}

// Memory in bytes that a job takes while it is open.
const (
	jobBytes = 1 << 10
	// stepBytes is for a step as it was submitted, and its state.
	stepBytes = 448
	// dependencyBytes is for an entry of Step.After.
	dependencyBytes = 8
	// taskBytes is for a task, its name and the lists that have it.
	taskBytes = 160
)

// MemoryBytes returns the memory that the job takes at the dispatcher until it is
// answered, without that for its runs.
func (j Job) MemoryBytes() int64 {
	n := jobBytes + int64(len(j.Spec)) + int64(len(j.Steps))*stepBytes
	for _, s := range j.Steps {
		n += int64(s.Count)*taskBytes + int64(len(s.After))*dependencyBytes
	}
	return n
}

// State classifies the outcome of a job.
type State int

// The states of a job.
const (
	// Complete means that every task was completed.
	Complete State = iota + 1
	// Failed means that a task failed as often as its kind allows, or that the
	// job is invalid or fits on no worker.
	Failed
	// NotRun means that no task was or will be started.
	NotRun
	// Abandoned means that the job was stopped when tasks had started, or may
	// have, for example because its caller disconnected, its deadline passed or
	// it could not complete in time. Its runs are being stopped.
	Abandoned
)

// Outcome is the result of a job.
type Outcome struct {
	State State
	// Reason is a camelCase identifier; empty if the job is complete.
	Reason string
	// RetryAfter is how long to wait before resubmitting a job that was not
	// run.
	RetryAfter time.Duration
}

// isFinal reports whether every request with the job's ID gets this outcome. Jobs
// with another one may run anew.
func (o Outcome) isFinal() bool { return o.State == Complete || o.State == Failed }

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
