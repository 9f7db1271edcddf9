// Package trace generates the jobs that callers send before a run starts, so
// that each placement variant and the ideal queue get the same jobs.
package trace

import (
	"time"

	"skylarklane.example/lib/wire"
)

// Job is one submission of a trace.
type Job struct {
	// At is the scheduled send time, from the start of the run.
	At      time.Duration
	Key     string
	Service string
	Kind    string
	Team    string
	Urgency wire.Urgency
	// Idempotent is set if the kind is idempotent: such a job may be run under a
	// key that was refused before.
	Idempotent bool
	// Deadline is 0 if the deadline of the kind applies.
	Deadline time.Duration
	// Runs are the actual run times of the tasks at speed 1.
	Runs []time.Duration
	// Entry is the index of the entry to which the job is sent, modulo the number
	// of entries.
	Entry int
	// Resubmit makes the caller send the job a second time, to another entry.
	Resubmit bool
	// Cancel makes the caller cancel the job while it runs.
	Cancel bool
}

// Work returns the sum of the run times.
func (j Job) Work() time.Duration {
	var sum time.Duration
	for _, run := range j.Runs {
		sum += run
	}
	return sum
}

// Work returns the sum of the run times of all jobs.
func Work(jobs []Job) time.Duration {
	var sum time.Duration
	for _, job := range jobs {
		sum += job.Work()
	}
	return sum
}

// Tasks returns the number of tasks of all jobs.
func Tasks(jobs []Job) int {
	n := 0
	for _, job := range jobs {
		n += len(job.Runs)
	}
	return n
}
