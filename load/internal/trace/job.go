// Package trace makes the jobs that callers send, ahead of a run, so that the
// same jobs can go to each variant and to the ideal queue.
package trace

import (
	"time"

	"skylarklane.example/lib/wire"
)

// Job is one submission of a trace.
type Job struct {
	// At is the intended send time, from the beginning of the run.
	At      time.Duration
	Key     string
	Service string
	Kind    string
	Team    string
	Urgency wire.Urgency
	// Idempotent kinds may run under a key that was refused before.
	Idempotent bool
	// Deadline is 0 where the kind's own counts.
	Deadline time.Duration
	// Runs are the true run times of the tasks at speed 1.
	Runs []time.Duration
	// Entry is the index of the entry that gets the job.
	Entry int
	// Resubmit sends the job again at another entry.
	Resubmit bool
	// Cancel cancels the job while it runs.
	Cancel bool
}

// Work is the sum of the run times.
func (j Job) Work() time.Duration {
	var sum time.Duration
	for _, run := range j.Runs {
		sum += run
	}
	return sum
}

// Work is the sum of the run times of all jobs.
func Work(jobs []Job) time.Duration {
	var sum time.Duration
	for _, job := range jobs {
		sum += job.Work()
	}
	return sum
}

// Tasks is the number of tasks of all jobs.
func Tasks(jobs []Job) int {
	n := 0
	for _, job := range jobs {
		n += len(job.Runs)
	}
	return n
}
