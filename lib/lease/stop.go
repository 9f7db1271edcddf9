package lease

import (
	"context"
	"time"
)

// stopper stops one run at the worker. It repeats the stop until the worker
// acknowledges it or the end of the run is known.
type stopper struct {
	m *Manager
	r *run
}

func (s *stopper) run() {
	for {
		q, w, ok := s.m.prepareStop(s.r)
		if !ok {
			return
		}
		began := time.Now()
		a, err := s.m.callStop(w, q)
		if s.m.finishStop(s.r, q, a, err) {
			return
		}
		time.Sleep(stopInterval - time.Since(began))
	}
}

// callStop sends one stop. It waits while maxConcurrentStops are in flight.
func (m *Manager) callStop(w Worker, q Stop) (Answer, error) {
	m.stopSemaphore <- struct{}{}
	defer func() { <-m.stopSemaphore }()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return w.Stop(ctx, q)
}

func (m *Manager) prepareStop(r *run) (Stop, Worker, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inc := r.incarnation
	if r.phase != stopping || inc.retired || inc.mismatched || m.ctx == nil {
		return Stop{}, nil, false
	}
	return m.newStop(inc, r.key.task, r.number), inc.worker, true
}

func (m *Manager) newStop(inc *incarnation, task string, number uint32) Stop {
	return Stop{Task: task, Run: number, Fence: m.fence.number, WorkerID: inc.announcement.ID}
}

// finishStop processes the answer to a stop, and reports whether the stopper
// is done.
func (m *Manager) finishStop(r *run, q Stop, a Answer, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.refreshState()
	if r.phase != stopping || r.incarnation.retired {
		return true
	}
	if !m.applyStopAnswer(r.incarnation, q, a, err) {
		return r.incarnation.mismatched
	}
	m.markAwaitingEnd(r, r.reason)
	return true
}

// applyStopAnswer processes the answer to a stop, and reports whether the worker
// has acknowledged it.
func (m *Manager) applyStopAnswer(inc *incarnation, q Stop, a Answer, err error) bool {
	if err != nil {
		m.recordUnansweredOrder(inc, "stop", Running{Task: q.Task, Run: q.Run}, 1, err)
		return false
	}
	inc.updateClock(a.ClockMillis, m.monotonic())
	switch a.Refusal {
	case Accepted, RefusedOld:
		return true
	case RefusedFence:
		m.raiseFence(q.Fence)
	case RefusedIncarnation:
		m.markMismatched(inc)
	case RefusedSuccessor:
		inc.recordDisconnect(m.monotonic())
	default:
		m.logOrderRefused(inc, "stop", Running{Task: q.Task, Run: q.Run}, a.Refusal)
	}
	return false
}
