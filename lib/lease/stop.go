package lease

import (
	"context"
	"time"
)

// stopper stops one run at the worker, until that is acknowledged or the run's
// end is known otherwise.
type stopper struct {
	k *Keeper
	r *run
}

func (s *stopper) run() {
	for {
		q, w, ok := s.k.beginStop(s.r)
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

// callStop sends one stop. There are never more than stopsAtOnce.
func (k *Keeper) callStop(w Worker, q Stop) (Answer, error) {
	k.stops <- struct{}{}
	defer func() { <-k.stops }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return w.Stop(ctx, q)
}

func (k *Keeper) beginStop(r *run) (Stop, Worker, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := r.life
	if r.phase != stopping || l.retired || l.refused || k.ctx == nil {
		return Stop{}, nil, false
	}
	return k.stopOrder(l, r.key.task, r.number), l.worker, true
}

func (k *Keeper) stopOrder(l *life, task string, number uint32) Stop {
	return Stop{Task: task, Run: number, Fence: k.fence.number, Life: l.said.ID}
}

// finishStop takes in the answer to a stop, and tells whether it is settled.
func (k *Keeper) finishStop(r *run, q Stop, a Answer, err error) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.changed()
	if r.phase != stopping || r.life.retired {
		return true
	}
	if !k.stopped(r.life, q, a, err) {
		return r.life.refused
	}
	k.barRun(r, r.reason)
	return true
}

// stopped tells whether the answer to a stop acknowledges it.
func (k *Keeper) stopped(l *life, q Stop, a Answer, err error) bool {
	if err != nil {
		k.tellUnanswered(l, "stop", Running{Task: q.Task, Run: q.Run}, 1, err)
		return false
	}
	l.readClock(a.ClockMillis, k.steady())
	switch a.Refusal {
	case Accepted, RefusedOld:
		return true
	case RefusedFence:
		k.raiseFence(q.Fence)
	case RefusedLife:
		k.refuseLife(l)
	default:
		k.tellRefused(l, "stop", Running{Task: q.Task, Run: q.Run}, a.Refusal)
	}
	return false
}
