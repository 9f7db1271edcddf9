package placement

import (
	"math"
	"time"

	"skylarklane.example/lib/capacity"
)

const (
	// laterStartDivisor bounds the expected start of a task that waits behind others:
	// the longest wait divided by it. Entries see reports of some 25 ms ago and send
	// tasks to the same queue at the same time, so that tasks start later than each
	// of them expects.
	laterStartDivisor = 4
	// spareWaitDivisor is the part of the time that a task has to spare which it may
	// wait at a worker that had room by its last report. Longer waits there miss the
	// room of others, shorter ones are refusals by another name.
	spareWaitDivisor = 2
	// minSpareWait is the least of that wait. Room comes free within it where the
	// report was just late.
	minSpareWait = 5 * time.Millisecond
)

// hasRoom reports whether the task may start at the worker now: it fits, and no
// run of the same or a higher priority waits there.
func (r Requirements) hasRoom(c Candidate) bool {
	return r.Need.Fits(c.Free) && (len(c.Waiting) == 0 || c.Waiting[0].Priority > r.Priority)
}

// SpareWait returns how long a task may wait at a worker that has room for it by
// its last report, as another entry may have taken the room since. It is at most
// longest, and leaves time for the task to meet its objective elsewhere.
func (r Requirements) SpareWait(c Candidate, longest time.Duration) time.Duration {
	if r.TimeLeft == 0 {
		return longest
	}
	return min(max((r.TimeLeft-r.end(c))/spareWaitDivisor, minSpareWait), longest)
}

// ChooseWait returns the index of the worker at which a task waits for which no
// worker has room, and for how long: the one where it is expected to end first. The
// wait is at most longest, and ends early enough for the task to meet its objective
// at another worker. A worker that counts as slow is left out: the task would more
// likely end in time at a faster one, even if it starts later. The decision is Unplaceable if no worker is expected to start
// the task soon, whatever its objective, and NoRoom if none is within the wait.
func ChooseWait(candidates []Candidate, r Requirements, longest time.Duration, skip func(int) bool) (chosen int, wait time.Duration, decision Decision) {
	earliest, _ := r.earliestEnds(candidates, skip)
	wait = longest
	if r.TimeLeft != 0 {
		wait = min(longest, r.TimeLeft-earliest)
	}
	decision = Unplaceable
	firstEnd := time.Duration(math.MaxInt64)
	for i, c := range candidates {
		slow := float64(r.end(c))*slowFactor > float64(earliest)
		if skip(i) || slow || !r.Suits(c) || !r.startsSoon(c, longest) {
			continue
		}
		if decision == Unplaceable {
			decision = NoRoom
		}
		start := r.expectedStart(c)
		if end := start + r.end(c); start <= wait && end < firstEnd {
			chosen, firstEnd, decision = i, end, Chosen
		}
	}
	return chosen, wait, decision
}

// startsSoon reports whether the agent's queue takes the task and the task is
// expected to start there early enough within the longest wait. The queue takes it
// if the runs of the same or a higher priority that wait there, and the task, need
// at most the worker's capacity. A task before which none of the same or a higher
// priority waits has the longest wait divided by 1 for priority 0, 2 for 1, and so on,
// as more urgent tasks that come meanwhile go first.
func (r Requirements) startsSoon(c Candidate, longest time.Duration) bool {
	before := c.waitingBefore(r.Priority)
	if !c.TakesWaiting || before+r.Need.CPUMillis > c.Capacity.CPUMillis {
		return false
	}
	if before == 0 {
		return r.expectedStart(c) <= longest/min(1+time.Duration(r.Priority), laterStartDivisor)
	}
	return r.expectedStart(c) <= longest/laterStartDivisor
}

// waitingBefore returns the processor capacity that waiting runs of the given or a
// higher priority need.
func (c Candidate) waitingBefore(priority uint32) int64 {
	sum := int64(0)
	for _, w := range c.Waiting {
		if w.Priority <= priority {
			sum += w.CPUMillis
		}
	}
	return sum
}

// expectedStart returns the expected time until the worker has room for the task
// after the runs that wait there before it. A full worker frees all of its
// capacity in the mean time of a run. Jitter moves the time by up to that of the
// task's own share, so that entries that see the same reports choose different
// workers.
func (r Requirements) expectedStart(c Candidate) time.Duration {
	lacking := r.Need.Plus(capacity.Vector{CPUMillis: c.waitingBefore(r.Priority)}).Minus(c.Free)
	share := lacking.Share(c.Capacity) + c.Jitter*r.Need.Share(c.Capacity)
	return scale(scale(c.MeanRun, c.Factor), share)
}
