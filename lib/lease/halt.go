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
func (m *Manager) Halt(_ context.Context, q *wire.HaltRequest) (*wire.HaltReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	if !wire.Same(q.GetAgent(), m.cfg.Agent) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "call is meant for another incarnation of the agent")
	}
	s := m.sessionFor(q.GetEntry())
	for _, id := range q.GetRuns() {
		m.haltRun(s, keyOf(id))
	}
	m.refreshState()
	return &wire.HaltReply{ClockMillis: m.nowMillis()}, nil
}

// haltRun stops a run. A run that was not accepted is ended at once, and a
// launch of it that arrives later is refused.
func (m *Manager) haltRun(s *session, key runKey) {
	rec := s.records[key]
	if rec == nil {
		rec = &launchRecord{reason: "halted"}
		s.records[key] = rec
	}
	if !rec.accepted {
		m.endUnaccepted(s, key, rec)
		return
	}
	for _, inc := range m.incarnations() {
		for _, r := range []*run{inc.queuedRun(s, key), inc.waiting[key.task], inc.active[key.task]} {
			if r != nil && r.session == s && r.key == key {
				m.halt(r, "halted", m.cfg.Clock.Now()+m.cfg.Lease)
			}
		}
	}
}

// endUnaccepted records the end of a run that was never accepted.
func (m *Manager) endUnaccepted(s *session, key runKey, rec *launchRecord) {
	if rec.end > 0 {
		return
	}
	rec.resolvedAt = 0
	m.lastEnd++
	s.addEnd(m.lastEnd, key, wire.RunHow_RUN_HOW_NOT_STARTED, rec.reason, 0)
	m.metrics.ends.Inc(rec.reason)
	m.logEvent(event.RunFinished, slog.String("task", key.task), slog.Uint64("attempt", uint64(key.attempt)),
		slog.String("entry", s.entry.GetId()), slog.String("how", "notStarted"), reasonAttr(rec.reason))
}

// halt stops a run. leaseLimit is the reading of the agent's clock to which its
// lease may last at most; if it is 0, only the end of the session limits it.
func (m *Manager) halt(r *run, reason string, leaseLimit time.Duration) {
	switch r.phase {
	case accepted:
		m.end(r, wire.RunHow_RUN_HOW_NOT_STARTED, reason)
	case starting, running:
		r.phase = stopping
		r.reason = reason
		r.leaseLimit = leaseLimit
		m.metrics.stops.Inc(reason)
		m.logRun(event.RunStopped, r, reasonAttr(reason), millisAttr("ranMillis", r.runTime(m.monotonic())))
		s := &stopper{m, r}
		m.spawn(s.run)
	case stopping:
		if leaseLimit > 0 && (r.leaseLimit == 0 || leaseLimit < r.leaseLimit) {
			r.leaseLimit = leaseLimit
		}
	case awaitingEnd, ended:
	}
}

// end records the end of a run, and starts the waiting run of its task if there
// is one.
func (m *Manager) end(r *run, how wire.RunHow, reason string) {
	if r.phase == ended {
		return
	}
	now := m.monotonic()
	runTime := r.runTime(now)
	if r.confirmed {
		m.metrics.lasting.RecordDuration(runTime)
	}
	r.phase = ended
	r.releaseClaim()
	inc, task := r.incarnation, r.key.task
	if how == wire.RunHow_RUN_HOW_DONE {
		inc.recordRunTime(r, runTime)
	}
	if r.number > 0 {
		inc.recordRunNumber(task, r.number, now)
	}
	m.lastEnd++
	r.session.addEnd(m.lastEnd, r.key, how, reason, runTime).Epoch = r.epoch
	m.metrics.ends.Inc(cmp.Or(reason, "done"))
	m.logRun(event.RunFinished, r, slog.String("how", how.Word()), reasonAttr(reason), millisAttr("runMillis", runTime))
	if r.queueID > 0 {
		inc.dequeue(r)
		return
	}
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
	m.spawnStarter(next)
}
