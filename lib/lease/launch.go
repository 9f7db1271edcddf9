package lease

import (
	"context"
	"log/slog"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// Launch implements wire.Runner. It returns once it is decided which runs are
// accepted; their starts go to the worker afterwards.
func (k *Keeper) Launch(_ context.Context, q *wire.LaunchRequest) (*wire.LaunchReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire()
	s := k.session(q.GetEntry())
	reason := k.refusingAll(s, q)
	results := make([]*wire.LaunchResult, 0, len(q.GetTasks()))
	for _, t := range q.GetTasks() {
		results = append(results, k.launch(s, q, t, reason))
	}
	k.changed()
	return &wire.LaunchReply{
		Results:     results,
		ClockMillis: k.nowMillis(),
		Worker:      k.board.state,
	}, nil
}

// session is the one of the entry's incarnation, nil if there is none.
func (k *Keeper) session(entry *wire.Incarnation) *session {
	return k.sessions[keyOfEntry(entry)]
}

// refusingAll is the reason for which all tasks of a launch are refused, empty
// if there is none.
func (k *Keeper) refusingAll(s *session, q *wire.LaunchRequest) string {
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
	if reason := k.refusing(); reason != "" {
		return reason
	}
	switch {
	case k.outlasts(k.life, s):
		return "sessionShort"
	case q.GetWorker() != k.life.name:
		return "wrongWorker"
	case q.GetService() != k.life.said.Service:
		return "wrongService"
	}
	return ""
}

func (k *Keeper) launch(s *session, q *wire.LaunchRequest, t *wire.LaunchTask, reason string) *wire.LaunchResult {
	key := keyOf(t.GetRun())
	if s != nil && s.records[key] != nil {
		rec := s.records[key]
		return &wire.LaunchResult{Accepted: rec.accepted, Reason: rec.reason}
	}
	if reason == "" {
		reason = k.refusingOne(s, t)
	}
	if reason != "" {
		k.refuse(s, q, key, reason)
		return &wire.LaunchResult{Reason: reason}
	}
	s.records[key] = &record{accepted: true}
	k.accept(&run{
		key:        key,
		session:    s,
		life:       k.life,
		need:       capacity.Of(t.GetNeed()),
		expected:   time.Duration(t.GetExpectedMillis()) * time.Millisecond,
		spec:       string(q.GetSpec()),
		acceptedAt: k.steady(),
	})
	return &wire.LaunchResult{Accepted: true}
}

// refuse keeps the refusal until a copy of the launch would come too late.
func (k *Keeper) refuse(s *session, q *wire.LaunchRequest, key runKey, reason string) {
	k.metrics.refusals.Inc(reason)
	attrs := []slog.Attr{
		slog.String("task", key.task),
		slog.Uint64("attempt", uint64(key.attempt)),
		slog.String("entry", q.GetEntry().GetId()),
		slog.String("worker", q.GetWorker()),
		reasonAttr(reason),
		slog.Int("running", k.left()),
		slog.Int64("lateMillis", k.nowMillis()-q.GetNotAfterMillis()),
	}
	if k.life != nil {
		attrs = append(attrs, amountAttr("free", k.life.free()))
	}
	k.tell(event.LaunchRefused, attrs...)
	if s == nil || !s.alive {
		return
	}
	s.records[key] = &record{reason: reason, seenAt: k.cfg.Clock.Now()}
}

// refusingOne is the reason for which one task is refused, empty if there is
// none.
func (k *Keeper) refusingOne(s *session, t *wire.LaunchTask) string {
	key := keyOf(t.GetRun())
	need := capacity.Of(t.GetNeed())
	l := k.life
	switch {
	case key.task == "" || key.attempt == 0 || !isAmount(need):
		return "invalid"
	case newer(l.active[key.task], s, key) || newer(l.waiting[key.task], s, key):
		return "old"
	case !need.Fits(l.free()):
		return "noRoom"
	}
	return ""
}

// newer tells whether r is a later run than key of the same session.
func newer(r *run, s *session, key runKey) bool {
	return r != nil && r.session == s && r.key.attempt > key.attempt
}

// accept reserves room for a run. It is started once no other run of its task
// is left.
func (k *Keeper) accept(r *run) {
	l := r.life
	task := r.key.task
	former := l.active[task]
	if former == nil {
		l.active[task] = r
		k.begin(r)
		return
	}
	if w := l.waiting[task]; w != nil {
		k.end(w, wire.RunHow_RUN_HOW_NOT_STARTED, "superseded")
	}
	l.waiting[task] = r
	k.halt(former, "superseded", k.cfg.Clock.Now()+k.cfg.Lease)
}

func (k *Keeper) begin(r *run) {
	s := &starter{k, r}
	k.spawn(s.run)
}

// spawn runs f until it returns; Run waits for it.
func (k *Keeper) spawn(f func()) {
	if k.ctx != nil {
		k.tasks.Go(f)
	}
}
