// Package ideal computes how long jobs would take in a system whose scheduler
// needs no messages and knows every run time in advance.
package ideal

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/trace"
)

// endOfTime is later than every event.
const endOfTime = time.Duration(math.MaxInt64)

// slot runs one task at a time.
type slot struct {
	speed  float64
	freeAt time.Duration
}

// waitingTask is a task that waits for a slot.
type waitingTask struct {
	job int
	run time.Duration
}

// queue simulates one central queue in front of all slots.
type queue struct {
	now      time.Duration
	slots    []slot
	jobs     []trace.Job
	waiting  []waitingTask
	endTimes []time.Duration
}

// Central returns the response time of each job under one clairvoyant central
// queue. Tasks are ordered by urgency, then by the arrival of their job, then by
// run time, the longest first. Each task runs on the slot on which it ends
// first: it waits for a fast slot if a free slow one would end it later.
func Central(jobs []trace.Job, workers []*wire.Worker) []time.Duration {
	q := &queue{slots: slotsOf(workers), jobs: jobs, endTimes: make([]time.Duration, len(jobs))}
	for n, job := range jobs {
		q.advance(job.At)
		q.addJob(n)
		q.startTasks()
	}
	q.advance(endOfTime)
	responses := make([]time.Duration, len(jobs))
	for n, job := range jobs {
		responses[n] = q.endTimes[n] - job.At
	}
	return responses
}

// Alone returns the response time of a job if no other job is in the system.
func Alone(job trace.Job, workers []*wire.Worker) time.Duration {
	job.At = 0
	return Central([]trace.Job{job}, workers)[0]
}

func slotsOf(workers []*wire.Worker) []slot {
	var slots []slot
	for _, w := range workers {
		for range w.GetSlots() {
			slots = append(slots, slot{speed: w.GetSpeed()})
		}
	}
	return slots
}

// advance moves the simulated time to until. On the way, it starts waiting tasks
// whenever a slot becomes free.
func (q *queue) advance(until time.Duration) {
	for len(q.waiting) > 0 {
		next := q.nextFree()
		if next >= until {
			break
		}
		q.now = next
		q.startTasks()
	}
	q.now = until
}

// nextFree returns the next time at which a slot becomes free.
func (q *queue) nextFree() time.Duration {
	next := endOfTime
	for _, s := range q.slots {
		if s.freeAt > q.now {
			next = min(next, s.freeAt)
		}
	}
	return next
}

func (q *queue) addJob(n int) {
	for _, run := range q.jobs[n].Runs {
		q.waiting = append(q.waiting, waitingTask{job: n, run: run})
	}
	slices.SortStableFunc(q.waiting, q.compare)
}

func (q *queue) compare(a, b waitingTask) int {
	return cmp.Or(
		cmp.Compare(q.jobs[b.job].Urgency, q.jobs[a.job].Urgency),
		cmp.Compare(a.job, b.job),
		cmp.Compare(b.run, a.run),
	)
}

// startTasks starts each waiting task whose best slot is free now. A task whose
// best slot is busy reserves that slot against the tasks after it.
func (q *queue) startTasks() {
	planned := slices.Clone(q.slots)
	stillWaiting := q.waiting[:0]
	for n, task := range q.waiting {
		if !anyFree(planned, q.now) {
			stillWaiting = append(stillWaiting, q.waiting[n:]...)
			break
		}
		best, end := bestSlot(planned, task.run, q.now)
		free := planned[best].freeAt <= q.now
		planned[best].freeAt = end
		if !free {
			stillWaiting = append(stillWaiting, task)
			continue
		}
		q.slots[best].freeAt = end
		q.endTimes[task.job] = max(q.endTimes[task.job], end)
	}
	q.waiting = stillWaiting
}

func anyFree(slots []slot, now time.Duration) bool {
	return slices.ContainsFunc(slots, func(s slot) bool { return s.freeAt <= now })
}

// bestSlot returns the index of the slot on which a task ends first, and the
// time at which it ends there.
func bestSlot(slots []slot, run, now time.Duration) (int, time.Duration) {
	best, bestEnd := 0, time.Duration(-1)
	for n, s := range slots {
		end := max(s.freeAt, now) + time.Duration(float64(run)/s.speed)
		if bestEnd < 0 || end < bestEnd {
			best, bestEnd = n, end
		}
	}
	return best, bestEnd
}
