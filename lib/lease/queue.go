package lease

import (
	"log/slog"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// maxSlack bounds the time to the latest start that a launch may name, so that it
// can be added to a clock reading.
const maxSlack = time.Hour

// startsNow reports whether a run of this priority and need starts at once: it
// fits, and no run of the same or a higher priority waits for that capacity.
func (inc *incarnation) startsNow(priority uint32, need capacity.Vector) bool {
	return need.Fits(inc.free()) && !inc.queue.Blocks(priority)
}

// enqueue lets a run wait for capacity, and reports whether it may. Runs that it
// displaces, and an earlier one of its task, end as not started.
func (m *Manager) enqueue(r *run, q *wire.LaunchRequest, t *wire.LaunchTask) bool {
	inc := r.incarnation
	now := m.cfg.Clock.Now()
	wait := time.Duration(min(t.GetWaitMillis(), wire.MaxLaunchWait.Milliseconds())) * time.Millisecond
	wait = min(wait, time.Duration(q.GetNotAfterMillis())*time.Millisecond-now)
	if wait <= 0 {
		return false
	}
	slackMillis := min(max(t.GetSlackMillis(), -maxSlack.Milliseconds()), maxSlack.Milliseconds())
	slack := time.Duration(slackMillis) * time.Millisecond
	queue, displaced, ok := inc.queue.With(placement.Waiter{
		ID:          m.lastQueueID + 1,
		Priority:    q.GetPriority(),
		LatestStart: now + slack,
		Late:        slack < 0,
		Need:        r.need,
	}, inc.announcement.capacity())
	if !ok {
		return false
	}
	inc.queue = queue
	for _, w := range displaced {
		m.end(inc.queued[w.ID], wire.RunHow_RUN_HOW_NOT_STARTED, "displaced")
	}
	m.supersedeQueued(inc, r.key.task)
	m.lastQueueID++
	r.queueID, r.waitUntil = m.lastQueueID, now+wait
	inc.queued[r.queueID] = r
	m.metrics.queued.Inc(1)
	m.logRun(event.RunQueued, r, resourcesAttr("need", r.need), resourcesAttr("free", inc.free()),
		slog.Uint64("priority", uint64(q.GetPriority())), slog.Int("waiting", len(inc.queued)), millisAttr("waitMillis", wait))
	time.AfterFunc(wait, m.endWaits)
	return true
}

// endWaits ends the waits that are over, at once rather than at the next tick.
func (m *Manager) endWaits() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	m.refreshState()
}

// serveQueue ends the queued runs whose wait is over, and starts those for which
// there is capacity. While the agent refuses new runs, none waits.
func (m *Manager) serveQueue() {
	inc := m.incarnation
	if inc == nil || len(inc.queued) == 0 {
		return
	}
	if reason := m.refusalReason(); reason != "" {
		m.dropQueued(inc, reason)
		return
	}
	now := m.cfg.Clock.Now()
	for _, r := range inc.queued {
		if now >= r.waitUntil {
			m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, "waitOver")
		}
	}
	for {
		next, ok := inc.queue.Next(inc.free())
		if !ok {
			return
		}
		r := inc.queued[next.ID]
		inc.dequeue(r)
		at := m.monotonic()
		m.metrics.waited.RecordDuration(at - r.acceptedAt)
		r.acceptedAt = at
		m.accept(r)
	}
}

// dropQueued ends the queued runs of an incarnation.
func (m *Manager) dropQueued(inc *incarnation, reason string) {
	for _, r := range inc.queued {
		m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	}
}

// supersedeQueued ends the queued runs of a task of which a new run is accepted.
func (m *Manager) supersedeQueued(inc *incarnation, task string) {
	for _, r := range inc.queued {
		if r.key.task == task {
			m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, "superseded")
		}
	}
}

// dequeue removes a run from the queue.
func (inc *incarnation) dequeue(r *run) {
	inc.queue = inc.queue.Without(r.queueID)
	delete(inc.queued, r.queueID)
	r.queueID = 0
}

// queuedRun returns the queued run with this key in the session, or nil.
func (inc *incarnation) queuedRun(s *session, key runKey) *run {
	for _, r := range inc.queued {
		if r.session == s && r.key == key {
			return r
		}
	}
	return nil
}

// hasLaterQueued reports whether a later run than key of the same task is queued
// in the session.
func (inc *incarnation) hasLaterQueued(s *session, key runKey) bool {
	for _, r := range inc.queued {
		if r.key.task == key.task && isLaterRun(r, s, key) {
			return true
		}
	}
	return false
}
