package lease

import (
	"context"
	"time"

	"skylarklane.example/lib/event"
)

// poller extends the lease of an incarnation with consecutive long polls.
type poller struct {
	k *Keeper
	l *incarnation
}

func (p *poller) loop() {
	wait, pause := holdWait, holdBackoff
	for p.l.ctx.Err() == nil {
		if p.k.hold(p.l, wait) {
			wait, pause = holdWait, holdBackoff
			if unstored := p.k.pauseForStore(p.l); unstored > 0 {
				p.sleep(unstored)
			}
			continue
		}
		p.sleep(pause)
		wait, pause = 0, min(2*pause, holdBackoffMax)
	}
}

func (p *poller) sleep(d time.Duration) {
	select {
	case <-p.l.ctx.Done():
	case <-time.After(d):
	}
}

// prober sends holds that don't wait: on request, and while the long poll is
// unanswered.
type prober struct {
	k *Keeper
	l *incarnation
}

func (p *prober) loop() {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.l.ctx.Done():
			return
		case <-p.l.holdNow:
			p.k.hold(p.l, 0)
		case <-tick.C:
			if p.k.isProbeDue(p.l) {
				p.k.metrics.retries.Inc("holdLate")
				p.k.hold(p.l, 0)
			}
		}
	}
}

// isProbeDue reports whether a probe is due: the last acknowledged hold is
// older than probeAge, by less than the length of a lease.
func (k *Keeper) isProbeDue(l *incarnation) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	age := k.monotonic() - l.ackedHoldSentAt
	return age > probeAge && age < probeAge+k.cfg.Lease
}

// hold sends one hold, and reports whether it was carried out.
func (k *Keeper) hold(l *incarnation, wait time.Duration) bool {
	q, seq, w, ok := k.prepareHold(l, wait)
	if !ok {
		return false
	}
	sent := k.monotonic()
	ctx, cancel := context.WithTimeout(l.ctx, holdTimeout(q))
	defer cancel()
	report, err := w.Hold(ctx, q)
	return k.finishHold(l, q, seq, sent, report, err)
}

// holdTimeout returns the time allowed for a hold.
func holdTimeout(q Hold) time.Duration {
	if q.WaitMillis == 0 {
		return probeTimeout
	}
	return time.Duration(q.WaitMillis)*time.Millisecond + holdSlack
}

func (k *Keeper) prepareHold(l *incarnation, wait time.Duration) (Hold, uint64, Worker, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireSessions()
	if l.retired || l.mismatched || k.ctx == nil {
		return Hold{}, 0, nil, false
	}
	if !l.cleared || len(l.orphans) > 0 || l.hasUnresolvedStart() {
		wait = min(wait, clearWait)
	}
	l.lastHoldSent++
	return Hold{
		DeadlineMillis: k.leaseDeadline(l),
		Fence:          k.fence.number,
		Cursor:         k.ackCursor(l),
		WaitMillis:     wait.Milliseconds(),
		WorkerID:       l.announcement.ID,
	}, l.lastHoldSent, l.worker, true
}

func (k *Keeper) finishHold(l *incarnation, q Hold, seq uint64, sent time.Duration, report Report, err error) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.retired {
		return false
	}
	defer k.refreshState()
	k.expireSessions()
	if err != nil {
		k.fence.increment()
		k.metrics.retries.Inc("holdUnanswered")
		return false
	}
	switch {
	case report.Refusal == RefusedFence:
		k.raiseFence(q.Fence)
		return true
	case report.Refusal == RefusedIncarnation:
		k.markMismatched(l)
		return false
	case report.Born > 0 && report.Born != l.announcement.Born:
		k.replaceFromReport(l, report)
		return false
	case report.Refusal != Accepted:
		k.logOrderRefused(l, "hold", Running{}, report.Refusal)
		return false
	}
	now := k.monotonic()
	l.updateClock(report.ClockMillis, now)
	if l.silenceLogged {
		l.silenceLogged = false
		k.logIncarnation(event.WorkerRegained, l, millisAttr("silentMillis", now-l.repliedAt))
	}
	l.repliedAt = now
	l.ackedHoldSentAt = max(l.ackedHoldSentAt, sent)
	k.applyEnds(l, report.Ended)
	if seq > l.lastHoldApplied {
		l.lastHoldApplied = seq
		k.applyRunning(l, q, seq, sent, report)
	}
	return true
}
