package lease

import (
	"context"
	"time"

	"skylarklane.example/lib/event"
)

// poller extends the lease of an incarnation with consecutive holds, each of
// which waits at the worker for a run to end.
type poller struct {
	m   *Manager
	inc *incarnation
}

func (p *poller) loop() {
	wait, pause := holdWait, holdBackoff
	for p.inc.ctx.Err() == nil {
		if p.m.hold(p.inc, wait) {
			wait, pause = holdWait, holdBackoff
			if delay := p.m.pauseForUnstored(p.inc); delay > 0 {
				p.sleep(delay)
			}
			continue
		}
		p.sleep(pause)
		wait, pause = 0, min(2*pause, holdBackoffMax)
	}
}

func (p *poller) sleep(d time.Duration) {
	select {
	case <-p.inc.ctx.Done():
	case <-time.After(d):
	}
}

// prober sends holds that don't wait: on request, and while the poller's hold
// is unanswered for long.
type prober struct {
	m   *Manager
	inc *incarnation
}

func (p *prober) loop() {
	timer := time.NewTimer(probeInterval)
	defer timer.Stop()
	for {
		select {
		case <-p.inc.ctx.Done():
			return
		case <-p.inc.holdNow:
			p.m.hold(p.inc, 0)
			continue
		case <-timer.C:
		}
		due, next := p.m.checkProbe(p.inc)
		if due {
			p.m.metrics.retries.Inc("holdLate")
			p.m.hold(p.inc, 0)
		}
		timer.Reset(next)
	}
}

// checkProbe reports whether the last acknowledged hold is older than probeAge, by less
// than the length of a lease, and returns the time until the next check.
func (m *Manager) checkProbe(inc *incarnation) (due bool, next time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := m.monotonic() - inc.ackedHoldSentAt
	return age > probeAge && age < probeAge+m.cfg.Lease, max(probeAge-age+time.Millisecond, probeInterval)
}

// hold sends one hold. It returns false if the caller should back off before
// the next one.
func (m *Manager) hold(inc *incarnation, wait time.Duration) bool {
	q, seq, w, ok := m.prepareHold(inc, wait)
	if !ok {
		return false
	}
	sent := m.monotonic()
	ctx, cancel := context.WithTimeout(inc.ctx, holdTimeout(q))
	defer cancel()
	report, err := w.Hold(ctx, q)
	return m.finishHold(inc, q, seq, sent, report, err)
}

// holdTimeout returns the time allowed for a hold.
func holdTimeout(q Hold) time.Duration {
	if q.WaitMillis == 0 {
		return probeTimeout
	}
	return time.Duration(q.WaitMillis)*time.Millisecond + holdSlack
}

func (m *Manager) prepareHold(inc *incarnation, wait time.Duration) (Hold, uint64, Worker, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	if inc.retired || inc.mismatched || m.ctx == nil {
		return Hold{}, 0, nil, false
	}
	if !inc.cleared || len(inc.orphans) > 0 || inc.hasUnresolvedStart() {
		wait = min(wait, clearWait)
	}
	inc.lastHoldSent++
	return Hold{
		DeadlineMillis: m.leaseDeadline(inc),
		Fence:          m.fence.number,
		Cursor:         m.ackCursor(inc),
		WaitMillis:     wait.Milliseconds(),
		WorkerID:       inc.announcement.ID,
	}, inc.lastHoldSent, inc.worker, true
}

func (m *Manager) finishHold(inc *incarnation, q Hold, seq uint64, sent time.Duration, report Report, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if inc.retired {
		return false
	}
	defer m.refreshState()
	m.expireSessions()
	if err != nil {
		m.fence.increment()
		m.metrics.retries.Inc("holdUnanswered")
		m.noteCallError(inc, err)
		return false
	}
	switch {
	case report.Refusal == RefusedFence:
		m.raiseFence(q.Fence)
		return true
	case report.Refusal == RefusedIncarnation:
		m.markMismatched(inc)
		return false
	case report.Born > 0 && report.Born != inc.announcement.Born:
		m.replaceFromReport(inc, report)
		return false
	case report.Refusal != Accepted:
		m.logOrderRefused(inc, "hold", Running{}, report.Refusal)
		return false
	}
	now := m.monotonic()
	inc.updateClock(report.ClockMillis, now)
	if inc.silenceLogged {
		inc.silenceLogged = false
		m.logIncarnation(event.WorkerRegained, inc, millisAttr("silentMillis", now-inc.repliedAt))
	}
	inc.repliedAt = now
	if sent >= inc.disconnectedAt {
		inc.disconnected = false
	}
	inc.ackedHoldSentAt = max(inc.ackedHoldSentAt, sent)
	m.applyEnds(inc, report)
	if seq > inc.lastHoldApplied {
		inc.lastHoldApplied = seq
		m.applyRunning(inc, q, seq, sent, report)
	}
	return true
}
