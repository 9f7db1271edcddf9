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
	// similarEndFactor is how many times as long as at the fastest worker with
	// room a task may take at the worker where it is placed.
	similarEndFactor = 1.1
	// comfortableShare is the share of the time left until the objective within
	// which a task may also end at a slower worker, so that fast workers are left
	// to the tasks that need them.
	comfortableShare = 0.75
	// crossDataCentreDelay is added to the run time at a worker in another data
	// centre.
	crossDataCentreDelay = 3 * time.Millisecond
)

// Candidate is the view that an entry has of a worker that it leases.
type Candidate struct {
	Capacity capacity.Vector
	Free     capacity.Vector
	Labels   []string
	// Factor is the run time of a task at this worker divided by that at a
	// worker with factor 1.
	Factor float64
	// SameDataCentre is set if the worker is in the entry's data centre.
	SameDataCentre bool
	// Jitter is a random number from 0 to 1. It keeps entries that see the same
	// free capacities from choosing the same worker.
	Jitter float64
	// HasJob is set if another task of the same job was just placed on the
	// worker.
	HasJob bool
	// Waiting is the runs that wait for capacity at the worker's agent, the highest
	// priority first.
	Waiting []WaitingWork
	// TakesWaiting is set if a launch that is sent now is likely to reach the agent
	// in time, and the agent's queue did not just refuse one.
	TakesWaiting bool
	// MeanRun is the mean run time of the service's tasks at a worker with factor 1.
	MeanRun time.Duration
}

// WithRun returns the candidate after a task was placed on it.
func (c Candidate) WithRun(need capacity.Vector) Candidate {
	c.Free = c.Free.Minus(need)
	c.HasJob = true
	return c
}

// lot returns the worker's lot among those with room for the task. The highest
// lot wins, and a worker wins with a chance in proportion to how many such
// tasks it has room for.
func (c Candidate) lot(need capacity.Vector) float64 {
	return math.Pow(c.Jitter, need.Share(c.Free))
}

// Requirements holds the requirements of a task.
type Requirements struct {
	Need capacity.Vector
	// Label that the worker must have; empty for none.
	Label string
	// Rack is the label of the workers near the task's data; empty for none. At
	// other workers the task takes RemoteFactor times as long.
	Rack         string
	RemoteFactor float64
	// Run is the expected run time at a worker with factor 1.
	Run time.Duration
	// TimeLeft is the time until the job's objective; negative if it has passed, 0
	// if there is none.
	TimeLeft time.Duration
	// Priority of the job; 0 is the highest.
	Priority uint32
}

// WithLabel returns the requirements with another required label.
func (r Requirements) WithLabel(label string) Requirements {
	r.Label = label
	return r
}

// Decision is the result of Choose.
type Decision int

// The decisions.
const (
	// Chosen means that a worker was found.
	Chosen Decision = iota + 1
	// NoRoom means that no suitable worker has room now.
	NoRoom
	// WaitForFaster means that only slow workers have room, and that the task
	// can meet its objective only at a faster one.
	WaitForFaster
	// Unplaceable means that no worker is suitable, even if it were empty.
	Unplaceable
)

// Choose returns the index of the worker for a task. It is one of those with room
// where the task ends about as early as at the fastest one, or well before its
// objective. A worker that has a task of the same job comes first, as each further
// worker costs a launch and may fail; otherwise one is drawn by lot. Workers for
// whose index skip returns true are ignored.
func Choose(candidates []Candidate, r Requirements, skip func(int) bool) (int, Decision) {
	earliest, earliestNow := r.earliestEnds(candidates, skip)
	if earliest == math.MaxInt64 {
		return 0, Unplaceable
	}
	if earliestNow == math.MaxInt64 {
		return 0, NoRoom
	}
	if float64(earliestNow)*slowFactor > float64(earliest) && earliestNow > r.TimeLeft && earliest <= r.TimeLeft {
		return 0, WaitForFaster
	}
	return r.draw(candidates, skip, earliestNow), Chosen
}

// Suits reports whether the task could run at the worker if it were empty.
func (r Requirements) Suits(c Candidate) bool {
	return r.Need.Fits(c.Capacity) && (r.Label == "" || slices.Contains(c.Labels, r.Label))
}

// earliestEnds returns the earliest expected end at any suitable worker
// (earliest) and at any that has room now (earliestNow).
func (r Requirements) earliestEnds(candidates []Candidate, skip func(int) bool) (earliest, earliestNow time.Duration) {
	earliest, earliestNow = math.MaxInt64, math.MaxInt64
	for i, c := range candidates {
		if skip(i) || !r.Suits(c) {
			continue
		}
		end := r.end(c)
		earliest = min(earliest, end)
		if r.hasRoom(c) {
			earliestNow = min(earliestNow, end)
		}
	}
	return earliest, earliestNow
}

// draw returns the worker to take among those where the task is expected to end
// at about earliestNow or well before its objective.
func (r Requirements) draw(candidates []Candidate, skip func(int) bool, earliestNow time.Duration) int {
	chosen, highest := 0, math.Inf(-1)
	latest := max(scale(earliestNow, similarEndFactor), scale(r.TimeLeft, comfortableShare))
	for i, c := range candidates {
		if skip(i) || !r.Suits(c) || !r.hasRoom(c) || r.end(c) > latest {
			continue
		}
		if c.HasJob {
			return i
		}
		if lot := c.lot(r.Need); lot > highest {
			chosen, highest = i, lot
		}
	}
	return chosen
}

// end returns the expected time until the task would end if the worker started
// it now.
func (r Requirements) end(c Candidate) time.Duration {
	run := scale(r.Run, c.Factor)
	if r.Rack != "" && !slices.Contains(c.Labels, r.Rack) {
		run = scale(run, r.RemoteFactor)
	}
	if !c.SameDataCentre {
		run += crossDataCentreDelay
	}
	return run
}
