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
func (k *Keeper) Launch(_ context.Context, q *wire.LaunchRequest) (*wire.LaunchReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireSessions()
	s := k.session(q.GetEntry())
	reason := k.launchRefusal(s, q)
	results := make([]*wire.LaunchResult, 0, len(q.GetTasks()))
	for _, t := range q.GetTasks() {
		results = append(results, k.launchTask(s, q, t, reason))
	}
	k.refreshState()
	return &wire.LaunchReply{
		Results:     results,
		ClockMillis: k.nowMillis(),
		Worker:      k.publishedState.state,
	}, nil
}

// session returns the session of the entry's incarnation, or nil.
func (k *Keeper) session(entry *wire.Incarnation) *session {
	return k.sessions[keyOfEntry(entry)]
}

// launchRefusal returns the reason to refuse all tasks of a launch, or an
// empty string.
func (k *Keeper) launchRefusal(s *session, q *wire.LaunchRequest) string {
	now := k.cfg.Clock.Now()
	notAfter := time.Duration(q.GetNotAfterMillis()) * time.Millisecond
	switch {
	case !wire.Same(q.GetAgent(), k.cfg.Agent):
		return "wrongAgent"
	case s == nil || !s.alive:
		return "noSession"
	case now > notAfter:
		return "late"
	case notAfter > now+k.cfg.Session:
		return "notAfterTooFar"
	}
	if reason := k.refusalReason(); reason != "" {
		return reason
	}
	switch {
	case k.leaseOutlasts(k.incarnation, s):
		return "sessionShort"
	case q.GetWorker() != k.incarnation.name:
		return "wrongWorker"
	case q.GetService() != k.incarnation.announcement.Service:
		return "wrongService"
	}
	return ""
}

func (k *Keeper) launchTask(s *session, q *wire.LaunchRequest, t *wire.LaunchTask, reason string) *wire.LaunchResult {
	key := keyOf(t.GetRun())
	if s != nil && s.records[key] != nil {
		rec := s.records[key]
		return &wire.LaunchResult{Accepted: rec.accepted, Reason: rec.reason}
	}
	if reason == "" {
		reason = k.taskRefusal(s, q, t)
	}
	if reason != "" {
		k.refuseLaunch(s, q, key, reason)
		return &wire.LaunchResult{Reason: reason}
	}
	s.records[key] = &launchRecord{accepted: true}
	k.accept(&run{
		key:         key,
		session:     s,
		incarnation: k.incarnation,
		need:        capacity.FromWire(t.GetNeed()),
		expected:    time.Duration(t.GetExpectedMillis()) * time.Millisecond,
		spec:        string(q.GetSpec()),
		epoch:       q.GetEpoch(),
		acceptedAt:  k.monotonic(),
	})
	return &wire.LaunchResult{Accepted: true}
}

// refuseLaunch counts, logs and records a refusal. The record is kept for as
// long as a copy of the launch may still arrive in time.
func (k *Keeper) refuseLaunch(s *session, q *wire.LaunchRequest, key runKey, reason string) {
	k.metrics.refusals.Inc(reason)
	attrs := []slog.Attr{
		slog.String("task", key.task),
		slog.Uint64("attempt", uint64(key.attempt)),
		slog.String("entry", q.GetEntry().GetId()),
		slog.String("worker", q.GetWorker()),
		reasonAttr(reason),
		slog.Int("running", k.runCountLocked()),
		slog.Int64("lateMillis", k.nowMillis()-q.GetNotAfterMillis()),
	}
	if k.incarnation != nil {
		attrs = append(attrs, resourcesAttr("free", k.incarnation.free()))
	}
	k.logEvent(event.LaunchRefused, attrs...)
	if s == nil || !s.alive {
		return
	}
	s.records[key] = &launchRecord{reason: reason, resolvedAt: k.cfg.Clock.Now()}
}

// taskRefusal returns the reason to refuse one task, or an empty string.
func (k *Keeper) taskRefusal(s *session, q *wire.LaunchRequest, t *wire.LaunchTask) string {
	key := keyOf(t.GetRun())
	need := capacity.FromWire(t.GetNeed())
	inc := k.incarnation
	switch {
	case key.task == "" || key.attempt == 0 || !isNonNegative(need):
		return "invalid"
	case isLaterRun(inc.active[key.task], s, key) || isLaterRun(inc.waiting[key.task], s, key):
		return "old"
	case q.GetEpoch() > 0 && q.GetEpoch() < k.epochs[jobOf(key.task)].number:
		return "formerOwner"
	case q.GetEpoch() > 0 && len(inc.unstored) > maxUnstored:
		return "endsUnstored"
	case !need.Fits(inc.free()):
		return "noRoom"
	}
	return ""
}

// isLaterRun reports whether r is a later run than key in the same session.
func isLaterRun(r *run, s *session, key runKey) bool {
	return r != nil && r.session == s && r.key.attempt > key.attempt
}

// accept reserves capacity for a run, and starts it once the previous run of
// its task has ended.
func (k *Keeper) accept(r *run) {
	inc := r.incarnation
	task := r.key.task
	former := inc.active[task]
	if former == nil {
		inc.active[task] = r
		k.spawnStarter(r)
		return
	}
	if w := inc.waiting[task]; w != nil {
		k.end(w, wire.RunHow_RUN_HOW_NOT_STARTED, "superseded")
	}
	inc.waiting[task] = r
	k.halt(former, "superseded", k.cfg.Clock.Now()+k.cfg.Lease)
}

func (k *Keeper) spawnStarter(r *run) {
	s := &starter{k, r}
	k.spawn(s.run)
}

// spawn runs f in a goroutine that Run waits for.
func (k *Keeper) spawn(f func()) {
	if k.ctx != nil {
		k.goroutines.Go(f)
	}
}
