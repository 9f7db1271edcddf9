package lease

import (
	"context"
	"time"
)

// stopper stops one run at the worker. It repeats the stop until the worker
// acknowledges it or the end of the run is known.
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

// callStop sends one stop. It waits while maxConcurrentStops are in flight.
func (k *Keeper) callStop(w Worker, q Stop) (Answer, error) {
	k.stopSemaphore <- struct{}{}
	defer func() { <-k.stopSemaphore }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return w.Stop(ctx, q)
}

func (k *Keeper) prepareStop(r *run) (Stop, Worker, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	inc := r.incarnation
	if r.phase != stopping || inc.retired || inc.mismatched || k.ctx == nil {
		return Stop{}, nil, false
	}
	return k.newStop(inc, r.key.task, r.number), inc.worker, true
}

func (k *Keeper) newStop(inc *incarnation, task string, number uint32) Stop {
	return Stop{Task: task, Run: number, Fence: k.fence.number, WorkerID: inc.announcement.ID}
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
	if !k.applyStopAnswer(r.incarnation, q, a, err) {
		return r.incarnation.mismatched
	}
	k.markAwaitingEnd(r, r.reason)
	return true
}

// applyStopAnswer processes the answer to a stop, and reports whether the worker
// has acknowledged it.
func (k *Keeper) applyStopAnswer(inc *incarnation, q Stop, a Answer, err error) bool {
	if err != nil {
		k.recordUnansweredOrder(inc, "stop", Running{Task: q.Task, Run: q.Run}, 1, err)
		return false
	}
	inc.updateClock(a.ClockMillis, k.monotonic())
	switch a.Refusal {
	case Accepted, RefusedOld:
		return true
	case RefusedFence:
		k.raiseFence(q.Fence)
	case RefusedIncarnation:
		k.markMismatched(inc)
	default:
		k.logOrderRefused(inc, "stop", Running{Task: q.Task, Run: q.Run}, a.Refusal)
	}
	return false
}
