package lease

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// starter starts one run at the worker, and repeats the start while the answer
// allows that.
type starter struct {
	m *Manager
	r *run
	// claim has to be granted before.
	claim *claim
}

func (s *starter) run() {
	if !s.claim.wait() {
		s.m.abandonClaimed(s.r)
		return
	}
	s.m.startSemaphore <- struct{}{}
	defer func() { <-s.m.startSemaphore }()
	tries := 0
	for n := 0; n < maxStartCalls; n++ {
		q, w, ok := s.m.prepareStart(s.r)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		a, err := w.Start(ctx, q)
		cancel()
		if err != nil {
			tries++
		}
		if !s.m.finishStart(s.r, q, a, err, tries) {
			return
		}
	}
	s.m.giveUpStart(s.r)
}

// prepareStart returns the order to start a run and the worker to send it to.
// It returns false if the run must not be started any more.
func (m *Manager) prepareStart(r *run) (Start, Worker, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	if r.phase > starting {
		return Start{}, nil, false
	}
	if reason := m.startBlocker(r); reason != "" {
		m.abandonStart(r, reason)
		return Start{}, nil, false
	}
	inc := r.incarnation
	if r.number == 0 {
		r.number = max(r.key.attempt, inc.runNumbers[r.key.task].high+1)
	}
	firstCall := r.phase == accepted
	r.phase = starting
	deadline := m.leaseDeadline(inc)
	if deadline == 0 {
		if firstCall {
			r.phase = accepted
		}
		m.abandonStart(r, "leaseShort")
		return Start{}, nil, false
	}
	r.fence = m.fence.number
	return Start{
		Task:           r.key.task,
		Run:            r.number,
		Spec:           r.spec,
		DeadlineMillis: deadline,
		Fence:          m.fence.number,
		WorkerID:       inc.announcement.ID,
	}, inc.worker, true
}

// startBlocker returns the reason that prevents the start of an accepted run,
// or an empty string.
func (m *Manager) startBlocker(r *run) string {
	inc := r.incarnation
	switch {
	case inc != m.incarnation || inc.mismatched:
		return "workerReplaced"
	case !r.session.alive:
		return "sessionEnd"
	case m.isEvacuated():
		return wire.ReasonEvacuated
	case inc.departed:
		return "workerLeft"
	case inc.unannounced:
		return "workerUnannounced"
	case inc.announcement.Draining:
		return "workerDraining"
	case inc.disconnected:
		return "workerDisconnected"
	case m.isSilent(inc):
		return "workerSilent"
	case m.leaseOutlasts(inc, r.session):
		return "sessionShort"
	}
	return ""
}

// leaseOutlasts reports whether the lease already granted may last longer
// than a run under the session may.
func (m *Manager) leaseOutlasts(inc *incarnation, s *session) bool {
	return inc.leaseUntil-m.monotonic() > s.until+m.cfg.Grace-m.cfg.Clock.Now()
}

// abandonStart ends a run that must not be started, or stops it if an
// unanswered start may have reached the worker.
func (m *Manager) abandonStart(r *run, reason string) {
	if r.unanswered {
		m.halt(r, "unanswered", 0)
	} else {
		m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	}
	m.refreshState()
}

// finishStart processes the answer to a start, and reports whether to try
// again.
func (m *Manager) finishStart(r *run, q Start, a Answer, err error, tries int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.refreshState()
	if err != nil {
		return m.handleUnansweredStart(r, err, tries)
	}
	inc := r.incarnation
	inc.updateClock(a.ClockMillis, m.monotonic())
	if a.Refusal != Accepted {
		m.logOrderRefused(inc, "start", Running{Task: q.Task, Run: q.Run}, a.Refusal)
	}
	switch a.Refusal {
	case Accepted:
		m.markStarted(r)
		return false
	case RefusedFence:
		m.raiseFence(q.Fence)
		return r.phase == starting
	case RefusedIncarnation:
		m.markMismatched(inc)
	case RefusedSuccessor:
		inc.recordDisconnect(m.monotonic())
	}
	if r.phase != starting {
		return false
	}
	switch {
	case a.Refusal == RefusedOld && r.unanswered:
		m.markAwaitingEnd(r, "old")
		return false
	case a.Refusal == RefusedOld:
		r.number = nextNumber(r)
		return true
	case a.Refusal == RefusedLate && !r.unanswered:
		return true
	}
	m.abandonStart(r, string(a.Refusal))
	return false
}

// handleUnansweredStart handles a start that got no answer, and reports whether
// to try again. After maxUnansweredStarts attempts the run is stopped, unless no
// start was sent.
func (m *Manager) handleUnansweredStart(r *run, err error, tries int) bool {
	r.unanswered = r.unanswered || !isUnnamed(err)
	r.incarnation.requestHold()
	m.recordUnansweredOrder(r.incarnation, "start", Running{Task: r.key.task, Run: r.number}, tries, err)
	if r.phase != starting {
		return false
	}
	if tries < maxUnansweredStarts {
		return true
	}
	m.abandonStart(r, "unanswered")
	return false
}

// isUnnamed reports whether an order was not sent.
func isUnnamed(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == KindUnnamed
}

// markStarted records that the worker has confirmed the run.
func (m *Manager) markStarted(r *run) {
	if !r.confirmed {
		r.confirmed = true
		r.precedingHold = r.incarnation.lastHoldSent
	}
	if r.phase != starting {
		return
	}
	r.phase = running
	r.startedAt = m.monotonic()
	took := r.startedAt - r.acceptedAt
	m.metrics.starting.RecordDuration(took)
	m.logRun(event.RunStarted, r, resourcesAttr("need", r.need), resourcesAttr("free", r.incarnation.free()), millisAttr("tookMillis", took))
}

// markAwaitingEnd records that the worker won't start the run any more. The
// report to a later hold shows whether it had been started.
func (m *Manager) markAwaitingEnd(r *run, reason string) {
	if r.reason == "" {
		r.reason = reason
	}
	r.phase = awaitingEnd
	r.precedingHold = r.incarnation.lastHoldSent
	r.incarnation.requestHold()
}

// giveUpStart abandons the start of a run after maxStartCalls calls.
func (m *Manager) giveUpStart(r *run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.phase <= starting {
		m.abandonStart(r, "refusedOften")
	}
}

// nextNumber returns a new number for a run whose number the worker has refused
// as old. The step doubles each time, as the worker may have seen many runs of
// the task that this agent does not know.
func nextNumber(r *run) uint32 {
	r.step = max(2*r.step, 1)
	return r.number + r.step
}

// raiseFence sets the fence above one that the worker has refused.
func (m *Manager) raiseFence(refused uint64) {
	if m.fence.raise(refused) {
		m.metrics.retries.Inc("fence")
		m.logEvent(event.FenceRaised, slog.Uint64("fence", m.fence.number))
	}
}

// markMismatched records that the worker has answered as another incarnation.
// If that one was announced before and rejected, it becomes the current one.
func (m *Manager) markMismatched(inc *incarnation) {
	if inc.mismatched {
		return
	}
	inc.mismatched = true
	if a := m.rejected; a != nil && inc == m.incarnation && m.isNewer(*a) {
		m.replace(*a)
	}
}

// leaseDeadline returns the reading of the worker's clock to which the next
// order extends the lease; 0 if the lease must not be extended. The lease does
// not outlast the leaseBound of any run in the phases up to stopping.
func (m *Manager) leaseDeadline(inc *incarnation) int64 {
	now := m.monotonic()
	if m.isSilent(inc) || inc.mismatched || !inc.cleared {
		return 0
	}
	ahead := m.cfg.Lease
	clock := m.cfg.Clock.Now()
	for _, r := range inc.active {
		if r.phase <= stopping {
			ahead = min(ahead, r.leaseBound(m.cfg.Grace)-clock)
		}
	}
	if ahead < time.Millisecond {
		return 0
	}
	inc.leaseUntil = max(inc.leaseUntil, now+withClockMargin(ahead))
	inc.maxLeaseUntil = now + callTimeout + withClockMargin(m.cfg.LeaseMax)
	return inc.clock(now) + ahead.Milliseconds()
}

// withClockMargin returns a time by the agent's clock in which at least d passes
// by the worker's clock.
func withClockMargin(d time.Duration) time.Duration { return time.Duration(clockMargin * float64(d)) }
