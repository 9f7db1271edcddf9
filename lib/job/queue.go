package job

import (
	"cmp"
	"slices"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// heldFraction is the divisor that gives the part of its objective that a job may
// wait for its first start, whatever its prospects.
const heldFraction = 8

// noWorkersTimeout is how long a job waits while no worker accepts runs.
const noWorkersTimeout = 200 * time.Millisecond

// enqueue queues a job with pending tasks.
func (d *Dispatcher) enqueue(w *workItem) {
	if w.answered || w.queued || len(w.pending) == 0 {
		return
	}
	w.queued = true
	d.queue = append(d.queue, w)
}

// dequeue removes a job from the queue.
func (d *Dispatcher) dequeue(w *workItem) {
	w.pending = nil
	if !w.queued {
		return
	}
	w.queued = false
	d.queue = slices.DeleteFunc(d.queue, func(one *workItem) bool { return one == w })
}

// sortQueue orders the queue by priority, then jobs that have started, then
// those that can meet their objective, then by the time left to start, then
// large ones first.
func (d *Dispatcher) sortQueue(now time.Duration) {
	slices.SortFunc(d.queue, func(a, b *workItem) int { return compare(a, b, now) })
}

func compare(a, b *workItem, now time.Duration) int {
	if c := cmp.Compare(a.Kind.GetPriority(), b.Kind.GetPriority()); c != 0 {
		return c
	}
	if begun := a.ran > 0; begun != (b.ran > 0) {
		if begun {
			return -1
		}
		return 1
	}
	if late := a.late(now); late != b.late(now) {
		if late {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(a.startBy(), b.startBy()); c != 0 {
		return c
	}
	if c := cmp.Compare(b.size(), a.size()); c != 0 {
		return c
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// startBy returns when the job must start to meet its objective at the best
// worker.
func (w *workItem) startBy() time.Duration {
	if w.objective.Due == 0 {
		return w.deadlineAt
	}
	return w.dueAt() - w.least
}

// late reports whether the job can't meet its objective any more.
func (w *workItem) late(now time.Duration) bool { return now > w.startBy() }

// prune gives up queued jobs that are unlikely to be served in time. Refusing
// them early lets their callers retry elsewhere.
func (d *Dispatcher) prune(now time.Duration) {
	d.sortQueue(now)
	backlogs := map[string]placement.Backlog{}
	for _, w := range slices.Clone(d.queue) {
		b, ok := backlogs[w.Service]
		if !ok {
			b = d.backlog(w.Service, now)
		}
		if w.liveRuns == 0 && w.isHopeless(b, d.delays[w.delayKey()].value(now), now) {
			d.giveUp(w, hopelessReason(b))
		} else {
			b.QueuedWork += w.size()
		}
		backlogs[w.Service] = b
	}
}

// hopelessReason returns why a job with this backlog ahead is given up.
func hopelessReason(b placement.Backlog) string {
	if b.Capacity == 0 {
		return reasonNoWorkers
	}
	return reasonHopeless
}

// isHopeless reports whether a job with this backlog ahead is unlikely to end
// while its result is useful. Once it has waited for a while, it must be
// likely to meet its objective.
func (w *workItem) isHopeless(b placement.Backlog, delay, now time.Duration) bool {
	if w.durable != nil {
		return false
	}
	last := w.lastAt()
	waited := now - w.receivedAt
	if b.Capacity == 0 && waited > noWorkersTimeout {
		return true
	}
	if last == never || w.awaitsFastWorker {
		return false
	}
	held := w.startedAt == 0 && waited > w.objective.Due/heldFraction
	if held {
		last = min(last, w.dueAt())
	}
	if b.Capacity == 0 {
		return held
	}
	wait := max(b.Wait(), delay-waited)
	return now+wait+w.remaining() > last
}

// remaining returns the least time that the job still needs, at the best
// worker.
func (w *workItem) remaining() time.Duration {
	return time.Duration(float64(w.kindStats.expected(w.chain())) * w.best)
}

// backlog sums up the capacity of the service's workers and the entry's own
// runs there.
func (d *Dispatcher) backlog(service string, now time.Duration) placement.Backlog {
	b := placement.Backlog{}
	for _, l := range d.serving(service) {
		if l.word.GetAccepting() && !l.isSilent(now) {
			b.Capacity += l.capacity.CPUMillis
		}
		for _, r := range l.runs {
			b.Running += r.need.CPUMillis
		}
	}
	return b
}

// capacityOf returns the total capacity of a service's workers.
func (d *Dispatcher) capacityOf(service string) capacity.Vector {
	sum := capacity.Vector{}
	for _, l := range d.serving(service) {
		sum = sum.Plus(l.capacity)
	}
	return sum
}
