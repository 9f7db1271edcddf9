package placement

import "time"

// worthlessFactor is the multiple of the target completion time after which the
// result of a job is worthless.
const worthlessFactor = 3

// Objective is the target completion time of a job (Due) and the time after
// which its result is worthless (WorthlessAfter). Both are relative to the job's
// arrival; 0 means none.
type Objective struct {
	Due            time.Duration
	WorthlessAfter time.Duration
}

// NewObjective returns the objective of a job with the given ideal run time: it
// is due after stretch times that plus slack. Without stretch there is none.
func NewObjective(ideal time.Duration, stretch float64, slack time.Duration) Objective {
	if stretch <= 0 {
		return Objective{}
	}
	due := scale(ideal, stretch) + slack
	return Objective{Due: due, WorthlessAfter: worthlessFactor * due}
}

// Backlog is the work that has to be done before a queued job.
type Backlog struct {
	// QueuedWork is the queued work, in thousandths of a core times
	// nanoseconds.
	QueuedWork float64
	// Running is the processor share, in thousandths of a core, that the
	// entry's tasks use now.
	Running int64
	// Capacity is the processor capacity of all workers together, in
	// thousandths of a core.
	Capacity int64
}

// minShareDivisor bounds the share of the capacity of all workers that an entry
// is assumed to get: it is at least 1/minShareDivisor.
const minShareDivisor = 16

// Wait returns the expected time to process the queued work.
func (b Backlog) Wait() time.Duration {
	rate := max(b.Running, b.Capacity/minShareDivisor, 1)
	return time.Duration(b.QueuedWork / float64(rate))
}
