package job

import (
	"cmp"
	"slices"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
)

// heldPart is the part of its objective that a job may wait for its first start
// whatever its prospects are.
const heldPart = 8

// workersPatience is how long a job waits while no worker takes runs.
const workersPatience = 200 * time.Millisecond

// enqueue has the pending tasks of a job placed when there is room.
func (d *Desk) enqueue(w *work) {
	if w.answered || w.queued || len(w.pending) == 0 {
		return
	}
	w.queued = true
	d.queue = append(d.queue, w)
}

// dequeue takes a job out of the queue.
func (d *Desk) dequeue(w *work) {
	w.pending = nil
	if !w.queued {
		return
	}
	w.queued = false
	d.queue = slices.DeleteFunc(d.queue, func(one *work) bool { return one == w })
}

// sortQueue orders the queue: by priority, then jobs that have started, then
// those that can make their objective, then by the time left to start, then
// large ones first.
func (d *Desk) sortQueue(now time.Duration) {
	slices.SortFunc(d.queue, func(a, b *work) int { return compare(a, b, now) })
}

func compare(a, b *work, now time.Duration) int {
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

// startBy is when the job must start to make its objective at the best worker.
func (w *work) startBy() time.Duration {
	if w.objective.Due == 0 {
		return w.deadlineAt
	}
	return w.dueAt() - w.least
}

// late tells whether the job can't make its objective any more.
func (w *work) late(now time.Duration) bool { return now > w.startBy() }

// prune gives up queued jobs that will hardly be served in time. Jobs are
// refused early rather than held in vain.
func (d *Desk) prune(now time.Duration) {
	d.sortQueue(now)
	backlogs := map[string]placement.Backlog{}
	for _, w := range slices.Clone(d.queue) {
		b, ok := backlogs[w.Service]
		if !ok {
			b = d.backlog(w.Service, now)
		}
		if w.live == 0 && w.hopeless(b, d.delays[w.delayKey()].value(now), now) {
			d.giveUp(w, hopelessReason(b))
		} else {
			b.Ahead += w.size()
		}
		backlogs[w.Service] = b
	}
}

// hopelessReason is why a job is given up with this work before it.
func hopelessReason(b placement.Backlog) string {
	if b.Capacity == 0 {
		return reasonNoWorkers
	}
	return reasonHopeless
}

// hopeless tells whether a job with this work before it will hardly end while
// it is worth something. Once it was held for a while, it must be likely to
// make its objective.
func (w *work) hopeless(b placement.Backlog, delay, now time.Duration) bool {
	last := w.lastAt()
	waited := now - w.receivedAt
	if b.Capacity == 0 && waited > workersPatience {
		return true
	}
	if last == never || w.choosy {
		return false
	}
	held := w.startedAt == 0 && waited > w.objective.Due/heldPart
	if held {
		last = min(last, w.dueAt())
	}
	if b.Capacity == 0 {
		return held
	}
	wait := max(b.Wait(), delay-waited)
	return now+wait+w.remaining() > last
}

// remaining is the least time that the job still needs, at a good worker.
func (w *work) remaining() time.Duration {
	return time.Duration(float64(w.kind.expected(w.chain())) * w.best)
}

// backlog sums up the service's workers and the entry's own runs there.
func (d *Desk) backlog(service string, now time.Duration) placement.Backlog {
	b := placement.Backlog{}
	for _, l := range d.serving(service) {
		if l.word.GetAccepting() && !l.silent(now) {
			b.Capacity += l.capacity.CPUMillis
		}
		for _, r := range l.runs {
			b.Running += r.need.CPUMillis
		}
	}
	return b
}

// capacityOf is that of all workers of a service together.
func (d *Desk) capacityOf(service string) capacity.Vector {
	sum := capacity.Vector{}
	for _, l := range d.serving(service) {
		sum = sum.Plus(l.capacity)
	}
	return sum
}
