package placement

import (
	"math"
	"slices"
	"time"

	"skylarklane.example/lib/capacity"
)

const (
	// slowFactor is the speed, as a part of the best, below which a worker
	// counts as slow.
	slowFactor = 0.7
	// alike is how much later than at the best worker with room a task may end
	// where another has more room.
	alike = 1.1
	// farDelay is what a worker in another data centre costs.
	farDelay = 3 * time.Millisecond
	// jitterPart is the most room that jitter stands for.
	jitterPart = 0.1
)

// Candidate is a leased worker as one entry sees it.
type Candidate struct {
	Capacity capacity.Vector
	Free     capacity.Vector
	Labels   []string
	// Factor is the run time of a task here over that at a worker of factor 1.
	Factor float64
	// Near is set for a worker in the entry's data centre.
	Near bool
	// Jitter from 0 to 1 keeps entries with the same view from choosing alike.
	Jitter float64
}

// WithRun returns the candidate after a task was placed there.
func (c Candidate) WithRun(need capacity.Vector) Candidate {
	c.Free = c.Free.Minus(need)
	return c
}

// Wish is what a task needs from its worker.
type Wish struct {
	Need capacity.Vector
	// Label that the worker must have, if any.
	Label string
	// Rack is the label of workers near the task's data, if any. On others it
	// takes Remote times as long.
	Rack   string
	Remote float64
	// Run is the expected run time at a worker of factor 1.
	Run time.Duration
	// Left is the time until the job's objective, negative if it has passed.
	Left time.Duration
}

// Verdict is what came of a choice.
type Verdict int

// The verdicts.
const (
	// Chosen means that there is a worker for the task.
	Chosen Verdict = iota + 1
	// NoRoom means that all workers that could hold the task are full.
	NoRoom
	// NotYet means that only a slow worker has room, and that the task makes its
	// objective only if a fast one gets room in time.
	NotYet
	// Nowhere means that no worker could hold the task, even an empty one.
	Nowhere
)

// Choose returns the worker for one task: the fastest first, then the one with
// most room. Workers for which skip is true are passed over.
func Choose(candidates []Candidate, w Wish, skip func(int) bool) (int, Verdict) {
	best, open := w.ends(candidates, skip)
	if best == math.MaxInt64 {
		return 0, Nowhere
	}
	if open == math.MaxInt64 {
		return 0, NoRoom
	}
	if float64(open)*slowFactor > float64(best) && open > w.Left && best <= w.Left {
		return 0, NotYet
	}
	return w.roomiest(candidates, skip, open), Chosen
}

// Holds tells whether the task could run at an empty worker.
func (w Wish) Holds(c Candidate) bool {
	return w.Need.Fits(c.Capacity) && (w.Label == "" || slices.Contains(c.Labels, w.Label))
}

// ends returns the soonest end at any worker that could hold the task, and at
// any that has room now.
func (w Wish) ends(candidates []Candidate, skip func(int) bool) (best, open time.Duration) {
	best, open = math.MaxInt64, math.MaxInt64
	for i, c := range candidates {
		if skip(i) || !w.Holds(c) {
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

// roomiest returns the worker with most room among those that are about as
// fast as the best.
func (w Wish) roomiest(candidates []Candidate, skip func(int) bool, open time.Duration) int {
	chosen, most := 0, math.Inf(-1)
	for i, c := range candidates {
		if skip(i) || !w.Holds(c) || !w.Need.Fits(c.Free) || float64(w.end(c)) > alike*float64(open) {
			continue
		}
		room := 1 - c.Capacity.Minus(c.Free).Plus(w.Need).Share(c.Capacity) + jitterPart*c.Jitter
		if room > most {
			chosen, most = i, room
		}
	}
	return chosen
}

// end is the expected time until the task ends at a worker.
func (w Wish) end(c Candidate) time.Duration {
	run := scale(w.Run, c.Factor)
	if w.Rack != "" && !slices.Contains(c.Labels, w.Rack) {
		run = scale(run, w.Remote)
	}
	if !c.Near {
		run += farDelay
	}
	return run
}
