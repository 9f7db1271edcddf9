package lease

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/wire"
)

// Halt implements wire.Runner.
func (k *Keeper) Halt(_ context.Context, q *wire.HaltRequest) (*wire.HaltReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	if !wire.Same(q.GetAgent(), k.cfg.Agent) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "another incarnation of the agent")
	}
	s, err := k.enter(q.GetEntry())
	if err != nil {
		return nil, err
	}
	for _, id := range q.GetRuns() {
		k.haltOne(s, keyOf(id))
	}
	k.changed()
	return &wire.HaltReply{ClockMillis: k.nowMillis()}, nil
}

// haltOne stops a run. One that was not accepted is barred, and ends.
func (k *Keeper) haltOne(s *session, key runKey) {
	rec := s.records[key]
	if rec == nil {
		rec = &record{reason: "halted"}
		s.records[key] = rec
	}
	if !rec.accepted {
		k.bar(s, key, rec)
		return
	}
	for _, l := range k.lives() {
		for _, r := range []*run{l.waiting[key.task], l.active[key.task]} {
			if r != nil && r.session == s && r.key == key {
				k.halt(r, "halted", k.cfg.Clock.Now()+k.cfg.Lease)
			}
		}
	}
}

func (k *Keeper) bar(s *session, key runKey, rec *record) {
	if rec.end > 0 {
		return
	}
	rec.seenAt = 0
	k.lastEnd++
	s.addEnd(k.lastEnd, key, wire.RunHow_RUN_HOW_NOT_STARTED, rec.reason, 0)
	k.log.Info("run barred", "task", key.task, "attempt", key.attempt, "entry", s.entry.GetId(), "reason", rec.reason)
}

// halt has a run end. Its lease lasts to limit at most, a reading of the
// agent's clock; 0 leaves it to its session.
func (k *Keeper) halt(r *run, reason string, limit time.Duration) {
	switch r.phase {
	case accepted:
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	case starting, running:
		r.phase = stopping
		r.reason = reason
		r.limit = limit
		k.metrics.count("stops", reason)
		k.log.Info("run is stopped", r.attrs(), "reason", reason, "ageMillis", (k.steady() - r.acceptedAt).Milliseconds())
		s := &stopper{k, r}
		k.spawn(s.run)
	case stopping:
		if limit > 0 && (r.limit == 0 || limit < r.limit) {
			r.limit = limit
		}
	case barred, ended:
	}
}

// end gives a run its end, and its task's next run its turn.
func (k *Keeper) end(r *run, how wire.RunHow, reason string) {
	if r.phase == ended {
		return
	}
	now := k.steady()
	ran := time.Duration(0)
	if r.startedAt > 0 {
		ran = now - r.startedAt
		k.metrics.toEnd.RecordDuration(ran)
	}
	r.phase = ended
	l, task := r.life, r.key.task
	if r.number > 0 {
		l.noteNumber(task, r.number, now)
	}
	k.lastEnd++
	r.session.addEnd(k.lastEnd, r.key, how, reason, ran)
	k.metrics.count("ends", orDone(reason))
	k.log.Info("run ended", r.attrs(), "how", how, "reason", reason, "ranMillis", ran.Milliseconds())
	if l.waiting[task] == r {
		delete(l.waiting, task)
		return
	}
	delete(l.active, task)
	next := l.waiting[task]
	if next == nil {
		return
	}
	delete(l.waiting, task)
	l.active[task] = next
	k.begin(next)
}

func orDone(reason string) string {
	if reason == "" {
		return "done"
	}
	return reason
}
