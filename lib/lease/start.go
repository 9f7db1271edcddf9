package lease

import (
	"context"
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// starter starts one run at the worker.
type starter struct {
	k *Keeper
	r *run
}

func (s *starter) run() {
	s.k.starts <- struct{}{}
	defer func() { <-s.k.starts }()
	tries := 0
	for n := 0; n < maxStartCalls; n++ {
		q, w, ok := s.k.prepareStart(s.r)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		a, err := w.Start(ctx, q)
		cancel()
		if err != nil {
			tries++
		}
		if !s.k.finishStart(s.r, q, a, err, tries) {
			return
		}
	}
	s.k.giveUpStart(s.r)
}

// prepareStart returns the order to start the run, if it may still be
// started.
func (k *Keeper) prepareStart(r *run) (Start, Worker, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireSessions()
	if r.phase > starting {
		return Start{}, nil, false
	}
	if reason := k.startBlocker(r); reason != "" {
		k.dropRun(r, reason)
		return Start{}, nil, false
	}
	l := r.incarnation
	if r.number == 0 {
		r.number = max(r.key.attempt, l.runNumbers[r.key.task].high+1)
	}
	fresh := r.phase == accepted
	r.phase = starting
	deadline := k.leaseDeadline(l)
	if deadline == 0 {
		if fresh {
			r.phase = accepted
		}
		k.dropRun(r, "leaseShort")
		return Start{}, nil, false
	}
	r.fence = k.fence.number
	return Start{
		Task:           r.key.task,
		Run:            r.number,
		Spec:           r.spec,
		DeadlineMillis: deadline,
		Fence:          k.fence.number,
		WorkerID:       l.announcement.ID,
	}, l.worker, true
}

// startBlocker returns the reason not to send a start of an accepted run, or
// an empty string.
func (k *Keeper) startBlocker(r *run) string {
	l := r.incarnation
	switch {
	case l != k.incarnation || l.mismatched:
		return "workerReplaced"
	case !r.session.alive:
		return "sessionEnd"
	case l.departed:
		return "workerLeft"
	case l.unannounced:
		return "workerUnannounced"
	case l.announcement.Draining:
		return "workerDraining"
	case k.isSilent(l):
		return "workerSilent"
	case k.leaseOutlasts(l, r.session):
		return "sessionShort"
	}
	return ""
}

// leaseOutlasts reports whether the lease already granted may last longer
// than a run under the session may.
func (k *Keeper) leaseOutlasts(l *incarnation, s *session) bool {
	return l.leaseUntil-k.monotonic() > s.until+k.cfg.Grace-k.cfg.Clock.Now()
}

// dropRun ends a run that must not be started, or stops it if it may have
// been started.
func (k *Keeper) dropRun(r *run, reason string) {
	if r.unanswered {
		k.halt(r, "unanswered", 0)
	} else {
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	}
	k.refreshState()
}

// finishStart processes the answer to a start, and reports whether to try
// again.
func (k *Keeper) finishStart(r *run, q Start, a Answer, err error, tries int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.refreshState()
	if err != nil {
		return k.startUnanswered(r, err, tries)
	}
	l := r.incarnation
	l.updateClock(a.ClockMillis, k.monotonic())
	if a.Refusal != Accepted {
		k.logOrderRefused(l, "start", Running{Task: q.Task, Run: q.Run}, a.Refusal)
	}
	switch a.Refusal {
	case Accepted:
		k.markStarted(r)
		return false
	case RefusedFence:
		k.raiseFence(q.Fence)
		return r.phase == starting
	case RefusedIncarnation:
		k.markMismatched(l)
	}
	if r.phase != starting {
		return false
	}
	switch {
	case a.Refusal == RefusedOld && r.unanswered:
		k.markBarred(r, "old")
		return false
	case a.Refusal == RefusedOld:
		r.number = nextNumber(r)
		return true
	case a.Refusal == RefusedLate && !r.unanswered:
		return true
	}
	k.dropRun(r, string(a.Refusal))
	return false
}

// startUnanswered handles a start without an answer: it is sent once more,
// and after that resolved by a stop. It reports whether to try again.
func (k *Keeper) startUnanswered(r *run, err error, tries int) bool {
	r.unanswered = true
	r.incarnation.requestHold()
	k.orderUnanswered(r.incarnation, "start", Running{Task: r.key.task, Run: r.number}, tries, err)
	if r.phase != starting {
		return false
	}
	if tries < maxStartTries {
		return true
	}
	k.halt(r, "unanswered", 0)
	return false
}

// markStarted records that the worker has the run.
func (k *Keeper) markStarted(r *run) {
	if !r.confirmed {
		r.confirmed = true
		r.precedingHold = r.incarnation.lastHoldSent
	}
	if r.phase != starting {
		return
	}
	r.phase = running
	r.startedAt = k.monotonic()
	took := r.startedAt - r.acceptedAt
	k.metrics.starting.RecordDuration(took)
	k.logRun(event.RunStarted, r, resourcesAttr("need", r.need), resourcesAttr("free", r.incarnation.free()), millisAttr("tookMillis", took))
}

// markBarred records that the run can't start any more; the report to a later
// hold shows whether it has.
func (k *Keeper) markBarred(r *run, reason string) {
	if r.reason == "" {
		r.reason = reason
	}
	r.phase = barred
	r.precedingHold = r.incarnation.lastHoldSent
	r.incarnation.requestHold()
}

// giveUpStart drops a run whose start was refused maxStartCalls times.
func (k *Keeper) giveUpStart(r *run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.phase <= starting {
		k.dropRun(r, "refusedOften")
	}
}

// nextNumber returns a new number for a run whose present one is used up. The
// steps double, as the worker may know of many runs that this agent does not.
func nextNumber(r *run) uint32 {
	r.step = max(2*r.step, 1)
	return r.number + r.step
}

func (k *Keeper) raiseFence(refused uint64) {
	if k.fence.raise(refused) {
		k.metrics.retries.Inc("fence")
		k.logEvent(event.FenceRaised, slog.Uint64("fence", k.fence.number))
	}
}

// markMismatched records that the worker has answered as another incarnation.
func (k *Keeper) markMismatched(l *incarnation) {
	if l.mismatched {
		return
	}
	l.mismatched = true
	if a := k.rejected; a != nil && l == k.incarnation && k.isNewer(*a) {
		k.replace(*a)
	}
}

// leaseDeadline returns the reading of the worker's clock to which an order
// extends its lease; 0 if the lease must not be extended. No run is covered
// for longer than its session allows.
func (k *Keeper) leaseDeadline(l *incarnation) int64 {
	now := k.monotonic()
	if k.isSilent(l) || l.mismatched || !l.cleared {
		return 0
	}
	ahead := k.cfg.Lease
	clock := k.cfg.Clock.Now()
	for _, r := range l.active {
		if r.phase <= stopping {
			ahead = min(ahead, r.bound(k.cfg.Grace)-clock)
		}
	}
	if ahead < time.Millisecond {
		return 0
	}
	l.leaseUntil = max(l.leaseUntil, now+withClockMargin(ahead))
	l.maxLeaseUntil = now + callTimeout + withClockMargin(k.cfg.LeaseMax)
	return l.clock(now) + ahead.Milliseconds()
}

// withClockMargin returns how long d may take on the worker's clock.
func withClockMargin(d time.Duration) time.Duration { return time.Duration(clockMargin * float64(d)) }
