package placement

import (
	"math"
	"slices"
	"time"

	"skylarklane.example/lib/capacity"
)

const (
	// slowFactor is the speed relative to the best worker below which a worker
	// counts as slow.
	slowFactor = 0.7
	// similarEndFactor bounds how much later than at the fastest worker with
	// room a task may end if it is placed at a worker with more room.
	similarEndFactor = 1.1
	// crossDataCentreDelay is added to the run time at a worker in another data
	// centre.
	crossDataCentreDelay = 3 * time.Millisecond
	// jitterWeight is the greatest share of room that jitter adds.
	jitterWeight = 0.1
)

// Candidate is a leased worker as seen by one entry.
type Candidate struct {
	Capacity capacity.Vector
	Free     capacity.Vector
	Labels   []string
	// Factor is the run time of a task at this worker divided by that at a
	// worker with factor 1.
	Factor float64
	// SameDataCentre is set if the worker is in the entry's data centre.
	SameDataCentre bool
	// Jitter, from 0 to 1, keeps entries with the same view from choosing the
	// same worker.
	Jitter float64
}

// WithRun returns the candidate after a task was placed on it.
func (c Candidate) WithRun(need capacity.Vector) Candidate {
	c.Free = c.Free.Minus(need)
	return c
}

// Requirements holds the requirements of a task.
type Requirements struct {
	Need capacity.Vector
	// Label that the worker must have; empty for none.
	Label string
	// Rack is the label of the workers near the task's data; empty for none. At
	// other workers the task takes Remote times as long.
	Rack   string
	Remote float64
	// Run is the expected run time at a worker with factor 1.
	Run time.Duration
	// TimeLeft is the time until the job's objective; negative if it has passed.
	TimeLeft time.Duration
}

// Decision is the result of Choose.
type Decision int

// The decisions.
const (
	// Chosen means that a worker was found.
	Chosen Decision = iota + 1
	// NoRoom means that all suitable workers are full.
	NoRoom
	// WaitForFaster means that only a slow worker has room, and that the task meets
	// its objective only if a fast worker becomes free in time.
	WaitForFaster
	// Unplaceable means that the task does not fit any worker, even an empty one.
	Unplaceable
)

// Choose returns the worker for a task: of those that are about as fast as the
// fastest one with room, the one with the most room. Workers for which skip
// returns true are ignored.
func Choose(candidates []Candidate, w Requirements, skip func(int) bool) (int, Decision) {
	best, open := w.earliestEnds(candidates, skip)
	if best == math.MaxInt64 {
		return 0, Unplaceable
	}
	if open == math.MaxInt64 {
		return 0, NoRoom
	}
	if float64(open)*slowFactor > float64(best) && open > w.TimeLeft && best <= w.TimeLeft {
		return 0, WaitForFaster
	}
	return w.mostFree(candidates, skip, open), Chosen
}

// Suits reports whether the task could run at the worker if it were empty.
func (w Requirements) Suits(c Candidate) bool {
	return w.Need.Fits(c.Capacity) && (w.Label == "" || slices.Contains(c.Labels, w.Label))
}

// earliestEnds returns the earliest expected end at any suitable worker (best),
// and at any that has room now (open).
func (w Requirements) earliestEnds(candidates []Candidate, skip func(int) bool) (best, open time.Duration) {
	best, open = math.MaxInt64, math.MaxInt64
	for i, c := range candidates {
		if skip(i) || !w.Suits(c) {
			continue
		}
		end := w.end(c)
		best = min(best, end)
		if w.Need.Fits(c.Free) {
			open = min(open, end)
		}
	}
	return best, open
}

// mostFree returns the worker with the most room among those where the task
// ends about as early as open.
func (w Requirements) mostFree(candidates []Candidate, skip func(int) bool, open time.Duration) int {
	chosen, most := 0, math.Inf(-1)
	for i, c := range candidates {
		if skip(i) || !w.Suits(c) || !w.Need.Fits(c.Free) || float64(w.end(c)) > similarEndFactor*float64(open) {
			continue
		}
		room := 1 - c.Capacity.Minus(c.Free).Plus(w.Need).Share(c.Capacity) + jitterWeight*c.Jitter
		if room > most {
			chosen, most = i, room
		}
	}
	return chosen
}

// end returns the expected time until the task would end at a worker.
func (w Requirements) end(c Candidate) time.Duration {
	run := scale(w.Run, c.Factor)
	if w.Rack != "" && !slices.Contains(c.Labels, w.Rack) {
		run = scale(run, w.Remote)
	}
	if !c.SameDataCentre {
		run += crossDataCentreDelay
	}
	return run
}
