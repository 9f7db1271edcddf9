package lease

import (
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
)

// orphan is a run at the worker that belongs to no session here: an earlier
// incarnation of this agent started it, or it was given up as lost.
type orphan struct {
	k  *Keeper
	l  *incarnation
	at Running
	// acked is set once the worker has acknowledged the stop.
	acked bool
	// precedingHold is the number of the last hold sent before the stop was
	// acknowledged.
	precedingHold uint64
}

// addOrphan stops a run. The worker accepts no new runs until a later hold
// shows that it has ended.
func (k *Keeper) addOrphan(l *incarnation, at Running) {
	if l.orphans[at] != nil {
		return
	}
	s := &orphan{k: k, l: l, at: at}
	l.orphans[at] = s
	k.metrics.stops.Inc("unknown")
	k.logEvent(event.RunStopped, slog.String("task", at.Task), slog.Uint64("run", uint64(at.Run)),
		slog.String("worker", l.announcement.ID), reasonAttr("unknown"))
	if l.ctx != nil {
		k.spawn(s.run)
	}
}

func (s *orphan) run() {
	for {
		q, w, ok := s.prepareStop()
		if !ok {
			return
		}
		began := time.Now()
		a, err := s.k.callStop(w, q)
		if s.finishStop(q, a, err) {
			return
		}
		time.Sleep(stopInterval - time.Since(began))
	}
}

func (s *orphan) prepareStop() (Stop, Worker, bool) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	l := s.l
	if l.orphans[s.at] != s || l.retired || l.mismatched || s.k.ctx == nil {
		return Stop{}, nil, false
	}
	return s.k.newStop(l, s.at.Task, s.at.Run), l.worker, true
}

func (s *orphan) finishStop(q Stop, a Answer, err error) bool {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	if !s.k.stopAcked(s.l, q, a, err) {
		return s.l.mismatched
	}
	s.acked = true
	s.precedingHold = s.l.lastHoldSent
	s.l.recordRunNumber(s.at.Task, s.at.Run, s.k.monotonic())
	s.l.requestHold()
	return true
}
