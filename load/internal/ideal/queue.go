// Package ideal computes how long jobs would take in a system without
// messages, with full knowledge of every run time.
package ideal

import (
	"cmp"
	"math"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/trace"
)

// forever is later than every event.
const forever = time.Duration(math.MaxInt64)

// slot is one place to run a task.
type slot struct {
	speed  float64
	freeAt time.Duration
}

// queued is a task that waits.
type queued struct {
	job int
	run time.Duration
}

// queue is one central queue in front of all slots.
type queue struct {
	now     time.Duration
	slots   []slot
	jobs    []trace.Job
	waiting []queued
	ends    []time.Duration
}

// Central returns the response time of each job under one clairvoyant central
// queue: urgent before others, then in the order of arrival, long tasks of a
// job first, each on the slot where it ends first; a task rather waits for a
// fast slot than runs longer on a slow one.
func Central(jobs []trace.Job, workers []*wire.Worker) []time.Duration {
	q := &queue{slots: slotsOf(workers), jobs: jobs, ends: make([]time.Duration, len(jobs))}
	for n, job := range jobs {
		q.advance(job.At)
		q.add(n)
		q.start()
	}
	q.advance(forever)
	responses := make([]time.Duration, len(jobs))
	for n, job := range jobs {
		responses[n] = q.ends[n] - job.At
	}
	return responses
}

// Alone returns the response time of a job that has all workers to itself.
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

// advance moves the time to until and starts waiting tasks on the slots that
// come free before.
func (q *queue) advance(until time.Duration) {
	for len(q.waiting) > 0 {
		next := q.nextFree()
		if next >= until {
			break
		}
		q.now = next
		q.start()
	}
	q.now = until
}

// nextFree is the next time at which a slot comes free.
func (q *queue) nextFree() time.Duration {
	next := forever
	for _, s := range q.slots {
		if s.freeAt > q.now {
			next = min(next, s.freeAt)
		}
	}
	return next
}

func (q *queue) add(n int) {
	for _, run := range q.jobs[n].Runs {
		q.waiting = append(q.waiting, queued{job: n, run: run})
	}
	slices.SortStableFunc(q.waiting, q.before)
}

func (q *queue) before(a, b queued) int {
	return cmp.Or(
		cmp.Compare(q.jobs[b.job].Urgency, q.jobs[a.job].Urgency),
		cmp.Compare(a.job, b.job),
		cmp.Compare(b.run, a.run),
	)
}

// start starts each waiting task whose best slot is free now.
func (q *queue) start() {
	planned := slices.Clone(q.slots)
	left := q.waiting[:0]
	for n, task := range q.waiting {
		if !anyFree(planned, q.now) {
			left = append(left, q.waiting[n:]...)
			break
		}
		best, end := bestSlot(planned, task.run, q.now)
		free := planned[best].freeAt <= q.now
		planned[best].freeAt = end
		if !free {
			left = append(left, task)
			continue
		}
		q.slots[best].freeAt = end
		q.ends[task.job] = max(q.ends[task.job], end)
	}
	q.waiting = left
}

func anyFree(slots []slot, now time.Duration) bool {
	return slices.ContainsFunc(slots, func(s slot) bool { return s.freeAt <= now })
}

// bestSlot returns the slot on which a task ends first, and that end.
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
