package lease

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/twitchtv/twirp"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// Halt implements wire.Runner.
func (k *Keeper) Halt(_ context.Context, q *wire.HaltRequest) (*wire.HaltReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireSessions()
	if !wire.Same(q.GetAgent(), k.cfg.Agent) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "another incarnation of the agent")
	}
	s := k.sessionFor(q.GetEntry())
	for _, id := range q.GetRuns() {
		k.haltOne(s, keyOf(id))
	}
	k.refreshState()
	return &wire.HaltReply{ClockMillis: k.nowMillis()}, nil
}

// haltOne stops a run. A run that was not accepted is ended at once, and a
// launch that arrives later is refused.
func (k *Keeper) haltOne(s *session, key runKey) {
	rec := s.records[key]
	if rec == nil {
		rec = &record{reason: "halted"}
		s.records[key] = rec
	}
	if !rec.accepted {
		k.endUnaccepted(s, key, rec)
		return
	}
	for _, l := range k.incarnations() {
		for _, r := range []*run{l.waiting[key.task], l.active[key.task]} {
			if r != nil && r.session == s && r.key == key {
				k.halt(r, "halted", k.cfg.Clock.Now()+k.cfg.Lease)
			}
		}
	}
}

// endUnaccepted records the end of a run that was never accepted.
func (k *Keeper) endUnaccepted(s *session, key runKey, rec *record) {
	if rec.end > 0 {
		return
	}
	rec.seenAt = 0
	k.lastEnd++
	s.addEnd(k.lastEnd, key, wire.RunHow_RUN_HOW_NOT_STARTED, rec.reason, 0)
	k.metrics.ends.Inc(rec.reason)
	k.logEvent(event.RunFinished, slog.String("task", key.task), slog.Uint64("attempt", uint64(key.attempt)),
		slog.String("entry", s.entry.GetId()), slog.String("how", "notStarted"), reasonAttr(rec.reason))
}

// halt stops a run. limit is the reading of the agent's clock to which its
// lease may last at most; 0 leaves that to its session.
func (k *Keeper) halt(r *run, reason string, limit time.Duration) {
	switch r.phase {
	case accepted:
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	case starting, running:
		r.phase = stopping
		r.reason = reason
		r.limit = limit
		k.metrics.stops.Inc(reason)
		k.logRun(event.RunStopped, r, reasonAttr(reason), millisAttr("ranMillis", r.ran(k.monotonic())))
		s := &stopper{k, r}
		k.spawn(s.run)
	case stopping:
		if limit > 0 && (r.limit == 0 || limit < r.limit) {
			r.limit = limit
		}
	case barred, ended:
	}
}

// end records the end of a run, and starts the next run of its task if one
// waits.
func (k *Keeper) end(r *run, how wire.RunHow, reason string) {
	if r.phase == ended {
		return
	}
	now := k.monotonic()
	ran := r.ran(now)
	if r.confirmed {
		k.metrics.lasting.RecordDuration(ran)
	}
	r.phase = ended
	l, task := r.incarnation, r.key.task
	if how == wire.RunHow_RUN_HOW_DONE {
		l.recordRunTime(r, ran)
	}
	if r.number > 0 {
		l.recordRunNumber(task, r.number, now)
	}
	k.lastEnd++
	r.session.addEnd(k.lastEnd, r.key, how, reason, ran).Epoch = r.epoch
	k.metrics.ends.Inc(cmp.Or(reason, "done"))
	k.logRun(event.RunFinished, r, slog.String("how", how.Word()), reasonAttr(reason), millisAttr("runMillis", ran))
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
	k.spawnStarter(next)
}
