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
		return nil, twirp.NewError(twirp.FailedPrecondition, "call is meant for another incarnation of the agent")
	}
	s := k.sessionFor(q.GetEntry())
	for _, id := range q.GetRuns() {
		k.haltRun(s, keyOf(id))
	}
	k.refreshState()
	return &wire.HaltReply{ClockMillis: k.nowMillis()}, nil
}

// haltRun stops a run. A run that was not accepted is ended at once, and a
// launch of it that arrives later is refused.
func (k *Keeper) haltRun(s *session, key runKey) {
	rec := s.records[key]
	if rec == nil {
		rec = &launchRecord{reason: "halted"}
		s.records[key] = rec
	}
	if !rec.accepted {
		k.endUnaccepted(s, key, rec)
		return
	}
	for _, inc := range k.incarnations() {
		for _, r := range []*run{inc.waiting[key.task], inc.active[key.task]} {
			if r != nil && r.session == s && r.key == key {
				k.halt(r, "halted", k.cfg.Clock.Now()+k.cfg.Lease)
			}
		}
	}
}

// endUnaccepted records the end of a run that was never accepted.
func (k *Keeper) endUnaccepted(s *session, key runKey, rec *launchRecord) {
	if rec.end > 0 {
		return
	}
	rec.resolvedAt = 0
	k.lastEnd++
	s.addEnd(k.lastEnd, key, wire.RunHow_RUN_HOW_NOT_STARTED, rec.reason, 0)
	k.metrics.ends.Inc(rec.reason)
	k.logEvent(event.RunFinished, slog.String("task", key.task), slog.Uint64("attempt", uint64(key.attempt)),
		slog.String("entry", s.entry.GetId()), slog.String("how", "notStarted"), reasonAttr(rec.reason))
}

// halt stops a run. leaseLimit is the reading of the agent's clock to which its
// lease may last at most; if it is 0, only the end of the session limits it.
func (k *Keeper) halt(r *run, reason string, leaseLimit time.Duration) {
	switch r.phase {
	case accepted:
		k.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	case starting, running:
		r.phase = stopping
		r.reason = reason
		r.leaseLimit = leaseLimit
		k.metrics.stops.Inc(reason)
		k.logRun(event.RunStopped, r, reasonAttr(reason), millisAttr("ranMillis", r.runTime(k.monotonic())))
		s := &stopper{k, r}
		k.spawn(s.run)
	case stopping:
		if leaseLimit > 0 && (r.leaseLimit == 0 || leaseLimit < r.leaseLimit) {
			r.leaseLimit = leaseLimit
		}
	case awaitingEnd, ended:
	}
}

// end records the end of a run, and starts the waiting run of its task if there
// is one.
func (k *Keeper) end(r *run, how wire.RunHow, reason string) {
	if r.phase == ended {
		return
	}
	now := k.monotonic()
	runTime := r.runTime(now)
	if r.confirmed {
		k.metrics.lasting.RecordDuration(runTime)
	}
	r.phase = ended
	inc, task := r.incarnation, r.key.task
	if how == wire.RunHow_RUN_HOW_DONE {
		inc.recordRunTime(r, runTime)
	}
	if r.number > 0 {
		inc.recordRunNumber(task, r.number, now)
	}
	k.lastEnd++
	r.session.addEnd(k.lastEnd, r.key, how, reason, runTime).Epoch = r.epoch
	k.metrics.ends.Inc(cmp.Or(reason, "done"))
	k.logRun(event.RunFinished, r, slog.String("how", how.Word()), reasonAttr(reason), millisAttr("runMillis", runTime))
	if inc.waiting[task] == r {
		delete(inc.waiting, task)
		return
	}
	delete(inc.active, task)
	next := inc.waiting[task]
	if next == nil {
		return
	}
	delete(inc.waiting, task)
	inc.active[task] = next
	k.spawnStarter(next)
}
