package lease

import (
	"context"
	"log/slog"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// Launch implements wire.Runner. It decides which runs are accepted, and
// returns before their starts are sent to the worker.
func (m *Manager) Launch(_ context.Context, q *wire.LaunchRequest) (*wire.LaunchReply, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireSessions()
	m.serveQueue()
	s := m.session(q.GetEntry())
	reason := m.launchRefusal(s, q)
	results := make([]*wire.LaunchResult, 0, len(q.GetTasks()))
	for _, t := range q.GetTasks() {
		results = append(results, m.launchTask(s, q, t, reason))
	}
	m.refreshState()
	return &wire.LaunchReply{
		Results:     results,
		ClockMillis: m.nowMillis(),
		Worker:      m.publishedState.state,
	}, nil
}

// session returns the session of the entry's incarnation, or nil.
func (m *Manager) session(entry *wire.Incarnation) *session {
	return m.sessions[keyOfEntry(entry)]
}

// launchRefusal returns the reason to refuse all tasks of a launch, or an
// empty string.
func (m *Manager) launchRefusal(s *session, q *wire.LaunchRequest) string {
	now := m.cfg.Clock.Now()
	notAfter := time.Duration(q.GetNotAfterMillis()) * time.Millisecond
	switch {
	case !wire.Same(q.GetAgent(), m.cfg.Agent):
		return "wrongAgent"
	case s == nil || !s.alive:
		return "noSession"
	case now > notAfter:
		return "late"
	case notAfter > now+m.cfg.Session:
		return "notAfterTooFar"
	}
	if reason := m.refusalReason(); reason != "" {
		return reason
	}
	switch {
	case m.leaseOutlasts(m.incarnation, s):
		return "sessionShort"
	case q.GetWorker() != m.incarnation.name:
		return "wrongWorker"
	case q.GetService() != m.incarnation.announcement.Service:
		return "wrongService"
	}
	return ""
}

func (m *Manager) launchTask(s *session, q *wire.LaunchRequest, t *wire.LaunchTask, reason string) *wire.LaunchResult {
	key := keyOf(t.GetRun())
	if s != nil && s.records[key] != nil {
		rec := s.records[key]
		return &wire.LaunchResult{Accepted: rec.accepted, Queued: rec.queued, Reason: rec.reason}
	}
	if reason == "" {
		reason = m.taskRefusal(s, q, t)
	}
	if reason != "" {
		m.refuseLaunch(s, q, key, reason)
		return &wire.LaunchResult{Reason: reason}
	}
	r := &run{
		key:         key,
		session:     s,
		incarnation: m.incarnation,
		need:        capacity.FromWire(t.GetNeed()),
		expected:    time.Duration(t.GetExpectedMillis()) * time.Millisecond,
		spec:        string(q.GetSpec()),
		epoch:       q.GetEpoch(),
		acceptedAt:  m.monotonic(),
	}
	queued := !m.incarnation.startsNow(q.GetPriority(), r.need)
	if queued && !m.enqueue(r, q, t) {
		m.refuseLaunch(s, q, key, "noRoom")
		return &wire.LaunchResult{Reason: "noRoom"}
	}
	s.records[key] = &launchRecord{accepted: true, queued: queued}
	m.claimJob(r, q.GetClaimant())
	if !queued {
		m.accept(r)
	}
	return &wire.LaunchResult{Accepted: true, Queued: queued}
}

// refuseLaunch counts, logs and records a refusal. The record is kept for as
// long as a copy of the launch may still arrive in time.
func (m *Manager) refuseLaunch(s *session, q *wire.LaunchRequest, key runKey, reason string) {
	m.metrics.refusals.Inc(reason)
	attrs := []slog.Attr{
		slog.String("task", key.task),
		slog.Uint64("attempt", uint64(key.attempt)),
		slog.String("entry", q.GetEntry().GetId()),
		slog.String("worker", q.GetWorker()),
		reasonAttr(reason),
		slog.Int("running", m.runCountLocked()),
		slog.Int64("lateMillis", m.nowMillis()-q.GetNotAfterMillis()),
	}
	if m.incarnation != nil {
		attrs = append(attrs, resourcesAttr("free", m.incarnation.free()))
	}
	m.logEvent(event.LaunchRefused, attrs...)
	if s == nil || !s.alive {
		return
	}
	s.records[key] = &launchRecord{reason: reason, resolvedAt: m.cfg.Clock.Now()}
}

// taskRefusal returns the reason to refuse one task, or an empty string.
func (m *Manager) taskRefusal(s *session, q *wire.LaunchRequest, t *wire.LaunchTask) string {
	key := keyOf(t.GetRun())
	inc := m.incarnation
	switch {
	case key.task == "" || key.attempt == 0 || !isNonNegative(capacity.FromWire(t.GetNeed())):
		return "invalid"
	case isLaterRun(inc.active[key.task], s, key) || isLaterRun(inc.waiting[key.task], s, key) || inc.hasLaterQueued(s, key):
		return "old"
	case q.GetClaimant() != nil && inc.hasOtherEntry(s, key.task):
		return wire.ReasonClaimed
	case q.GetEpoch() > 0 && q.GetEpoch() < m.epochs[jobOf(key.task)].number:
		return "formerOwner"
	case q.GetEpoch() > 0 && len(inc.unstored) > maxUnstored:
		return "endsUnstored"
	}
	return ""
}

// isLaterRun reports whether r is a later run than key in the same session.
func isLaterRun(r *run, s *session, key runKey) bool {
	return r != nil && r.session == s && r.key.attempt > key.attempt
}

// accept reserves capacity for a run, and starts it once the previous run of
// its task has ended.
func (m *Manager) accept(r *run) {
	inc := r.incarnation
	task := r.key.task
	m.supersedeQueued(inc, task)
	former := inc.active[task]
	if former == nil {
		inc.active[task] = r
		m.spawnStarter(r)
		return
	}
	if w := inc.waiting[task]; w != nil {
		m.end(w, wire.RunHow_RUN_HOW_NOT_STARTED, "superseded")
	}
	inc.waiting[task] = r
	m.halt(former, "superseded", m.cfg.Clock.Now()+m.cfg.Lease)
}

func (m *Manager) spawnStarter(r *run) {
	s := &starter{m, r, r.claim}
	m.spawn(s.run)
}

// spawn runs f in a goroutine that Run waits for.
func (m *Manager) spawn(f func()) {
	if m.ctx != nil {
		m.goroutines.Go(f)
	}
}
