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
	for n := 0; n < refusalTries; n++ {
		q, w, ok := s.k.beginStart(s.r)
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
	s.k.giveUp(s.r)
}

// beginStart is the order to start the run, if it may still be started.
func (k *Keeper) beginStart(r *run) (Start, Worker, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if r.phase > starting {
		return Start{}, nil, false
	}
	if reason := k.barring(r); reason != "" {
		k.drop(r, reason)
		return Start{}, nil, false
	}
	l := r.life
	if r.number == 0 {
		r.number = max(r.key.attempt, l.numbers[r.key.task].high+1)
	}
	fresh := r.phase == accepted
	r.phase = starting
	deadline := k.extend(l)
	if deadline == 0 {
		if fresh {
			r.phase = accepted
		}
		k.drop(r, "leaseShort")
		return Start{}, nil, false
	}
	r.fence = k.fence.number
	return Start{
		Task:           r.key.task,
		Run:            r.number,
		Spec:           r.spec,
		DeadlineMillis: deadline,
		Fence:          k.fence.number,
		Life:           l.said.ID,
	}, l.worker, true
}

// barring is the reason for which no start of an accepted run is sent, empty
// if there is none.
func (k *Keeper) barring(r *run) string {
	l := r.life
	switch {
	case l != k.life || l.refused:
		return "workerReplaced"
	case !r.session.alive:
		return "sessionEnd"
	case l.left:
		return "workerLeft"
	case l.unannounced:
		return "workerUnannounced"
	case l.said.Draining:
		return "workerDraining"
	case k.silent(l):
		return "workerSilent"
	case k.outlasts(l, r.session):
		return "sessionShort"
	}
	return ""
}

// outlasts tells whether the lease that was given may last longer than a run
// under the session may.
func (k *Keeper) outlasts(l *life, s *session) bool {
	return l.leaseUntil-k.steady() > s.until+k.cfg.Grace-k.cfg.Clock.Now()
}

// drop ends a run that is not to be started, or stops it if it may have been.
func (k *Keeper) drop(r *run, reason string) {
	if r.unanswered {
		k.halt(r, "unanswered", 0)
	} else {
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	}
	k.changed()
}

// finishStart takes in the answer to a start, and tells whether to try again.
func (k *Keeper) finishStart(r *run, q Start, a Answer, err error, tries int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.changed()
	if err != nil {
		return k.noAnswer(r, err, tries)
	}
	l := r.life
	l.readClock(a.ClockMillis, k.steady())
	if a.Refusal != Accepted {
		k.tellRefused(l, "start", Running{Task: q.Task, Run: q.Run}, a.Refusal)
	}
	switch a.Refusal {
	case Accepted:
		k.started(r)
		return false
	case RefusedFence:
		k.raiseFence(q.Fence)
		return r.phase == starting
	case RefusedLife:
		k.refuseLife(l)
	}
	if r.phase != starting {
		return false
	}
	switch {
	case a.Refusal == RefusedOld && r.unanswered:
		k.barRun(r, "old")
		return false
	case a.Refusal == RefusedOld:
		r.number = nextNumber(r)
		return true
	case a.Refusal == RefusedLate && !r.unanswered:
		return true
	}
	k.drop(r, string(a.Refusal))
	return false
}

// noAnswer has a start sent once more, and then settled by a stop.
func (k *Keeper) noAnswer(r *run, err error, tries int) bool {
	r.unanswered = true
	r.life.ask()
	k.tellUnanswered(r.life, "start", Running{Task: r.key.task, Run: r.number}, tries, err)
	if r.phase != starting {
		return false
	}
	if tries < startTries {
		return true
	}
	k.halt(r, "unanswered", 0)
	return false
}

// started takes in that the worker has the run.
func (k *Keeper) started(r *run) {
	if !r.known {
		r.known = true
		r.proof = r.life.sent
	}
	if r.phase != starting {
		return
	}
	r.phase = running
	r.startedAt = k.steady()
	took := r.startedAt - r.acceptedAt
	k.metrics.starting.RecordDuration(took)
	k.tellRun(event.RunStarted, r, amountAttr("need", r.need), amountAttr("free", r.life.free()), millisAttr("tookMillis", took))
}

// barRun takes in that the run can't start any more; a later hold tells
// whether it has.
func (k *Keeper) barRun(r *run, reason string) {
	if r.reason == "" {
		r.reason = reason
	}
	r.phase = barred
	r.proof = r.life.sent
	r.life.ask()
}

func (k *Keeper) giveUp(r *run) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.phase <= starting {
		k.drop(r, "refusedOften")
	}
}

// nextNumber is a number for a run whose present one is used up. The steps
// double, as the worker may know of many runs that this agent does not.
func nextNumber(r *run) uint32 {
	r.step = max(2*r.step, 1)
	return r.number + r.step
}

func (k *Keeper) raiseFence(refused uint64) {
	if k.fence.raise(refused) {
		k.metrics.retries.Inc("fence")
		k.tell(event.FenceRaised, slog.Uint64("fence", k.fence.number))
	}
}

// refuseLife takes in that the worker answers for another life.
func (k *Keeper) refuseLife(l *life) {
	if l.refused {
		return
	}
	l.refused = true
	if a := k.doubted; a != nil && l == k.life && k.replaces(*a) {
		k.replace(*a)
	}
}

// extend is the reading of the worker's clock to which an order extends its
// lease, 0 if it is not to be extended. The lease covers no run for longer than
// its session allows.
func (k *Keeper) extend(l *life) int64 {
	now := k.steady()
	if k.silent(l) || l.refused || !l.cleared {
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
	l.leaseUntil = max(l.leaseUntil, now+scaled(ahead))
	l.goneAt = now + callTimeout + scaled(k.cfg.LeaseMax)
	return l.clock(now) + ahead.Milliseconds()
}

// scaled is how long d may take on the worker's clock.
func scaled(d time.Duration) time.Duration { return time.Duration(margin * float64(d)) }
