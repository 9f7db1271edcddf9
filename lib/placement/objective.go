package placement

import "time"

// lateFactor is the multiple of its objective after which the result of a job
// is worthless.
const lateFactor = 3

// Objective is the target completion time of a job (Due) and the time after
// which its result is worthless (Last). Both are relative to the job's arrival;
// 0 means none.
type Objective struct {
	Due            time.Duration
	WorthlessAfter time.Duration
}

// NewObjective returns the objective of a job with the given ideal run time.
func NewObjective(ideal time.Duration, stretch float64, slack time.Duration) Objective {
	if stretch <= 0 {
		return Objective{}
	}
	due := scale(ideal, stretch) + slack
	return Objective{Due: due, WorthlessAfter: lateFactor * due}
}

// Backlog is the work ahead of a queued job, in thousandths of a core times
// time.
type Backlog struct {
	// QueuedWork is the queued work ahead of the job.
	QueuedWork float64
	// Running is the processor share, in thousandths of a core, that the
	// entry's tasks use now.
	Running int64
	// Capacity is the processor capacity of all workers together, in
	// thousandths of a core.
	Capacity int64
}

// minShareDivisor sets the least share of all workers that an entry is assumed
// to get: 1/minShareDivisor.
const minShareDivisor = 16

// Wait returns the expected time to process the work ahead.
func (b Backlog) Wait() time.Duration {
	rate := max(b.Running, b.Capacity/minShareDivisor, 1)
	return time.Duration(b.QueuedWork / float64(rate))
}
