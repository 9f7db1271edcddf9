package placement

import (
	"cmp"
	"slices"
	"time"

	"skylarklane.example/lib/capacity"
)

// maxWaiters bounds the runs that wait at one agent. More of them would not start
// within the longest wait.
const maxWaiters = 64

// Waiter is a run that waits at an agent for capacity.
type Waiter struct {
	// ID identifies the run, and grows with the order of arrival.
	ID uint64
	// Priority of the launch; 0 is the highest.
	Priority uint32
	// LatestStart is when the run must start for its job to meet its objective.
	LatestStart time.Duration
	// Late is set if that time had passed when the run arrived.
	Late bool
	Need capacity.Vector
}

// compare orders waiters by priority, then latest start, then age. Late ones come
// after the others of their priority: if they came first, they would make these
// late, too.
func (w Waiter) compare(other Waiter) int {
	if c := cmp.Compare(w.Priority, other.Priority); c != 0 {
		return c
	}
	if w.Late != other.Late {
		if w.Late {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(w.LatestStart, other.LatestStart), cmp.Compare(w.ID, other.ID))
}

// WaitQueue holds the runs that wait at an agent, the most urgent first. The zero
// value is empty.
type WaitQueue struct {
	waiters []Waiter
}

// With returns the queue with another run, and the runs that it displaces: the
// least urgent ones beyond maxWaiters, or beyond a total need of the worker's
// capacity, so that runs of low priority leave the queue to urgent ones. It
// returns false if the new run would itself be displaced.
func (q WaitQueue) With(w Waiter, total capacity.Vector) (WaitQueue, []Waiter, bool) {
	at, _ := slices.BinarySearchFunc(q.waiters, w, Waiter.compare)
	waiters := slices.Insert(slices.Clone(q.waiters), at, w)
	kept := keptWithin(waiters, total)
	if at >= kept {
		return q, nil, false
	}
	return WaitQueue{waiters[:kept:kept]}, waiters[kept:], true
}

// keptWithin returns how many of the waiters, in their order, keep to the bounds
// of a queue.
func keptWithin(waiters []Waiter, total capacity.Vector) int {
	var sum capacity.Vector
	for i, w := range waiters {
		sum = sum.Plus(w.Need)
		if i == maxWaiters || !sum.Fits(total) {
			return i
		}
	}
	return len(waiters)
}

// Without returns the queue without one run.
func (q WaitQueue) Without(id uint64) WaitQueue {
	return WaitQueue{slices.DeleteFunc(slices.Clone(q.waiters), func(w Waiter) bool { return w.ID == id })}
}

// Next returns the run that starts next. There is none while the most urgent run
// doesn't fit, even if others would: small runs that pass a large one would
// keep it from starting for as long as they come.
func (q WaitQueue) Next(free capacity.Vector) (Waiter, bool) {
	if len(q.waiters) == 0 || !q.waiters[0].Need.Fits(free) {
		return Waiter{}, false
	}
	return q.waiters[0], true
}

// Blocks reports whether a new run of the given priority may not start because one
// of the same or a higher priority waits.
func (q WaitQueue) Blocks(priority uint32) bool {
	return len(q.waiters) > 0 && q.waiters[0].Priority <= priority
}

// Len returns the number of waiting runs.
func (q WaitQueue) Len() int { return len(q.waiters) }

// WaitingWork is the runs of one priority that wait at an agent.
type WaitingWork struct {
	Priority  uint32
	Runs      uint32
	CPUMillis int64
}

// Work returns the waiting runs by priority, the highest first.
func (q WaitQueue) Work() []WaitingWork {
	var work []WaitingWork
	for _, w := range q.waiters {
		if len(work) == 0 || work[len(work)-1].Priority != w.Priority {
			work = append(work, WaitingWork{Priority: w.Priority})
		}
		last := &work[len(work)-1]
		last.Runs++
		last.CPUMillis += w.Need.CPUMillis
	}
	return work
}
