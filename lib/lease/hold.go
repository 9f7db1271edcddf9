package lease

import (
	"context"
	"time"

	"skylarklane.example/lib/event"
)

// poller holds the lease of a life by one long poll after the other.
type poller struct {
	k *Keeper
	l *life
}

func (p *poller) loop() {
	wait, pause := holdWait, holdPause
	for p.l.ctx.Err() == nil {
		if p.k.hold(p.l, wait) {
			wait, pause = holdWait, holdPause
			if unstored := p.k.storePause(p.l); unstored > 0 {
				p.sleep(unstored)
			}
			continue
		}
		p.sleep(pause)
		wait, pause = 0, min(2*pause, pauseMax)
	}
}

func (p *poller) sleep(d time.Duration) {
	select {
	case <-p.l.ctx.Done():
	case <-time.After(d):
	}
}

// pulser sends holds that don't wait: when one is asked for, and while the long
// poll is not answered.
type pulser struct {
	k *Keeper
	l *life
}

func (p *pulser) loop() {
	tick := time.NewTicker(pulseInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.l.ctx.Done():
			return
		case <-p.l.kick:
			p.k.hold(p.l, 0)
		case <-tick.C:
			if p.k.isPulseDue(p.l) {
				p.k.metrics.retries.Inc("holdLate")
				p.k.hold(p.l, 0)
			}
		}
	}
}

func (k *Keeper) isPulseDue(l *life) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	age := k.steady() - l.heldAt
	return age > pulseAge && age < pulseAge+k.cfg.Lease
}

// hold sends one hold, and tells whether it was carried out.
func (k *Keeper) hold(l *life, wait time.Duration) bool {
	q, seq, w, ok := k.beginHold(l, wait)
	if !ok {
		return false
	}
	sent := k.steady()
	ctx, cancel := context.WithTimeout(l.ctx, holdLimit(q))
	defer cancel()
	report, err := w.Hold(ctx, q)
	return k.finishHold(l, q, seq, sent, report, err)
}

// holdLimit is the time for a hold.
func holdLimit(q Hold) time.Duration {
	if q.WaitMillis == 0 {
		return pulseTimeout
	}
	return time.Duration(q.WaitMillis)*time.Millisecond + holdSlack
}

func (k *Keeper) beginHold(l *life, wait time.Duration) (Hold, uint64, Worker, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if l.retired || l.refused || k.ctx == nil {
		return Hold{}, 0, nil, false
	}
	if !l.cleared || len(l.strays) > 0 || l.isUnsettled() {
		wait = min(wait, clearWait)
	}
	l.sent++
	return Hold{
		DeadlineMillis: k.extend(l),
		Fence:          k.fence.number,
		Cursor:         k.acknowledgeable(l),
		WaitMillis:     wait.Milliseconds(),
		Life:           l.said.ID,
	}, l.sent, l.worker, true
}

func (k *Keeper) finishHold(l *life, q Hold, seq uint64, sent time.Duration, report Report, err error) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l.retired {
		return false
	}
	defer k.changed()
	k.expire()
	if err != nil {
		k.fence.pass()
		k.metrics.retries.Inc("holdUnanswered")
		return false
	}
	switch {
	case report.Refusal == RefusedFence:
		k.raiseFence(q.Fence)
		return true
	case report.Refusal == RefusedLife:
		k.refuseLife(l)
		return false
	case report.Born > 0 && report.Born != l.said.Born:
		k.discover(l, report)
		return false
	case report.Refusal != Accepted:
		k.tellRefused(l, "hold", Running{}, report.Refusal)
		return false
	}
	now := k.steady()
	l.readClock(report.ClockMillis, now)
	if l.quiet {
		l.quiet = false
		k.tellLife(event.WorkerRegained, l, millisAttr("silentMillis", now-l.repliedAt))
	}
	l.repliedAt = now
	l.heldAt = max(l.heldAt, sent)
	k.takeEnds(l, report.Ended)
	if seq > l.taken {
		l.taken = seq
		k.takeRunning(l, q, seq, sent, report)
	}
	return true
}
