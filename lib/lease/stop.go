package lease

import (
	"context"
	"time"
)

// stopper stops one run at the worker. It repeats the stop until that is
// acknowledged or the run's end is known otherwise.
type stopper struct {
	k *Keeper
	r *run
}

func (s *stopper) run() {
	for {
		q, w, ok := s.k.prepareStop(s.r)
		if !ok {
			return
		}
		began := time.Now()
		a, err := s.k.callStop(w, q)
		if s.k.finishStop(s.r, q, a, err) {
			return
		}
		time.Sleep(stopInterval - time.Since(began))
	}
}

// callStop sends one stop. At most maxConcurrentStops are in flight.
func (k *Keeper) callStop(w Worker, q Stop) (Answer, error) {
	k.stops <- struct{}{}
	defer func() { <-k.stops }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return w.Stop(ctx, q)
}

func (k *Keeper) prepareStop(r *run) (Stop, Worker, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := r.incarnation
	if r.phase != stopping || l.retired || l.mismatched || k.ctx == nil {
		return Stop{}, nil, false
	}
	return k.newStop(l, r.key.task, r.number), l.worker, true
}

func (k *Keeper) newStop(l *incarnation, task string, number uint32) Stop {
	return Stop{Task: task, Run: number, Fence: k.fence.number, WorkerID: l.announcement.ID}
}

// finishStop processes the answer to a stop, and reports whether the stopper
// is done.
func (k *Keeper) finishStop(r *run, q Stop, a Answer, err error) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.refreshState()
	if r.phase != stopping || r.incarnation.retired {
		return true
	}
	if !k.stopAcked(r.incarnation, q, a, err) {
		return r.incarnation.mismatched
	}
	k.markBarred(r, r.reason)
	return true
}

// stopAcked reports whether the answer to a stop acknowledges it.
func (k *Keeper) stopAcked(l *incarnation, q Stop, a Answer, err error) bool {
	if err != nil {
		k.orderUnanswered(l, "stop", Running{Task: q.Task, Run: q.Run}, 1, err)
		return false
	}
	l.updateClock(a.ClockMillis, k.monotonic())
	switch a.Refusal {
	case Accepted, RefusedOld:
		return true
	case RefusedFence:
		k.raiseFence(q.Fence)
	case RefusedIncarnation:
		k.markMismatched(l)
	default:
		k.logOrderRefused(l, "stop", Running{Task: q.Task, Run: q.Run}, a.Refusal)
	}
	return false
}
