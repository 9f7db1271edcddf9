package lease

import (
	"log/slog"
	"time"

	"skylarklane.example/lib/event"
)

// stray is a run at the worker that belongs to no entry here: this agent's
// earlier incarnation started it, or it was given up as lost.
type stray struct {
	k   *Keeper
	l   *life
	at  Running
	off bool
	// proof is the newest hold sent before the stop was acknowledged.
	proof uint64
}

// addStray has a run stopped. The worker takes no new runs until a later hold
// shows that it is gone.
func (k *Keeper) addStray(l *life, at Running) {
	if l.strays[at] != nil {
		return
	}
	s := &stray{k: k, l: l, at: at}
	l.strays[at] = s
	k.metrics.stops.Inc("unknown")
	k.tell(event.RunStopped, slog.String("task", at.Task), slog.Uint64("run", uint64(at.Run)),
		slog.String("worker", l.said.ID), reasonAttr("unknown"))
	if l.ctx != nil {
		k.spawn(s.run)
	}
}

func (s *stray) run() {
	for {
		q, w, ok := s.begin()
		if !ok {
			return
		}
		began := time.Now()
		a, err := s.k.callStop(w, q)
		if s.finish(q, a, err) {
			return
		}
		time.Sleep(stopInterval - time.Since(began))
	}
}

func (s *stray) begin() (Stop, Worker, bool) {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	l := s.l
	if l.strays[s.at] != s || l.retired || l.refused || s.k.ctx == nil {
		return Stop{}, nil, false
	}
	return s.k.stopOrder(l, s.at.Task, s.at.Run), l.worker, true
}

func (s *stray) finish(q Stop, a Answer, err error) bool {
	s.k.mu.Lock()
	defer s.k.mu.Unlock()
	if !s.k.stopped(s.l, q, a, err) {
		return s.l.refused
	}
	s.off = true
	s.proof = s.l.sent
	s.l.noteNumber(s.at.Task, s.at.Run, s.k.steady())
	s.l.ask()
	return true
}
