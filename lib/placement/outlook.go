package placement

import "time"

// lateFactor is how often its objective a job may take and still be worth
// something.
const lateFactor = 3

// Objective is when a job should end and until when it is worth ending. Both
// are counted from when it came in; 0 means that there is none.
type Objective struct {
	Due  time.Duration
	Last time.Duration
}

// ObjectiveOf returns the objective of a job with this ideal run time.
func ObjectiveOf(ideal time.Duration, stretch float64, slack time.Duration) Objective {
	if stretch <= 0 {
		return Objective{}
	}
	due := scale(ideal, stretch) + slack
	return Objective{Due: due, Last: lateFactor * due}
}

// Backlog is the work before a queued job, in thousandths of a core times
// time.
type Backlog struct {
	// Ahead is the work that is queued before it.
	Ahead float64
	// Running is the processor, in thousandths of a core, that the entry's
	// own runs have now.
	Running int64
	// Capacity is that of all workers together.
	Capacity int64
}

// leastShare is the part of all workers that an entry is taken to get.
const leastShare = 16

// Wait is how long the work ahead is expected to take.
func (b Backlog) Wait() time.Duration {
	rate := max(b.Running, b.Capacity/leastShare, 1)
	return time.Duration(b.Ahead / float64(rate))
}
