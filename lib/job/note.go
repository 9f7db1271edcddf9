package job

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// note logs an event of the desk.
func (d *Desk) note(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), d.log, attrs...)
}

// millis returns an attribute with a duration in milliseconds.
func millis(key string, value time.Duration) slog.Attr {
	return slog.Int64(key, value.Milliseconds())
}

// word returns an attribute, and none where the value is empty.
func word(key, value string) slog.Attr {
	if value == "" {
		return slog.Attr{}
	}
	return slog.String(key, value)
}

// name returns the run as TASK/ATTEMPT.
func (r *run) name() string {
	return r.task.name + "/" + strconv.FormatUint(uint64(r.attempt), 10)
}

// namesOf returns the names of runs, joined by spaces.
func namesOf(runs []*run) slog.Attr {
	names := make([]string, len(runs))
	for i, r := range runs {
		names[i] = r.name()
	}
	return slog.String("runs", strings.Join(names, " "))
}

func (d *Desk) noteReceived(w *work) {
	d.note(event.JobReceived, slog.String("job", w.ID), slog.String("service", w.Service), slog.String("kind", w.Kind.GetName()),
		slog.Int("tasks", w.tasksLeft), millis("idealMillis", w.ideal), millis("dueMillis", w.objective.Due),
		millis("deadlineMillis", w.patience()), slog.Int("queue", len(d.queue)))
}

// patience is how long the caller waits, 0 where it told nothing.
func (w *work) patience() time.Duration {
	if w.deadlineAt == never {
		return 0
	}
	return w.deadlineAt - w.receivedAt
}

// inputsOf are what the choice of a worker was made by.
func (d *Desk) inputsOf(w *work, l *link, now time.Duration) []slog.Attr {
	return []slog.Attr{
		slog.String("job", w.ID), slog.String("worker", l.word.GetId()), slog.String("agent", l.agent.GetId()),
		slog.Int64("freeCpuMillis", l.free.CPUMillis), slog.Float64("factor", l.factor(now)),
		millis("ageMillis", now-l.wordAt), slog.Uint64("wordVersion", l.word.GetVersion()),
		millis("waitedMillis", now-w.receivedAt), slog.Int("queue", len(d.queue)),
	}
}

// notePlaced logs the runs that an agent has accepted.
func (d *Desk) notePlaced(o *launch, taken []*run) {
	if len(taken) > 0 {
		d.note(event.JobPlaced, append(o.inputs, namesOf(taken))...)
	}
}

func (d *Desk) noteLaunchUnanswered(o *launch, err error) {
	d.note(event.LaunchUnanswered, slog.String("job", o.work.ID), namesOf(o.runs), slog.String("agent", o.q.GetAgent().GetId()),
		slog.String("worker", o.q.GetWorker()), slog.Any("error", err))
}

func (d *Desk) noteHaltUnanswered(agent *wire.Incarnation, runs []*run, err error) {
	d.note(event.HaltUnanswered, slog.String("agent", agent.GetId()), namesOf(runs), slog.Any("error", err))
}

// noteAgain logs that a task is to be placed again.
func (d *Desk) noteAgain(r *run, cause, reason string, now time.Duration) {
	e := event.RunRetried
	if cause == causeRefused {
		e = event.RunRefused
	}
	d.note(e, slog.String("job", r.work.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("reason", cause), word("detail", reason),
		slog.Uint64("failed", uint64(r.task.failed)), slog.Uint64("maxAttempts", uint64(r.work.Kind.GetMaxAttempts())),
		millis("ranMillis", now-r.sentAt))
}

// noteEnd logs the end of a run whose task is not done.
func (d *Desk) noteEnd(r *run, end *wire.RunEnd) {
	if end.GetHow() == wire.RunHow_RUN_HOW_DONE {
		return
	}
	d.note(event.RunEnded, slog.String("job", r.work.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("how", end.GetHow().Word()), word("reason", end.GetReason()),
		slog.Int64("runMillis", end.GetRunMillis()))
}

func (d *Desk) noteHalted(r *run, why string, now time.Duration) {
	d.note(event.RunHalted, slog.String("job", r.work.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("reason", why), millis("ranMillis", now-r.sentAt), millis("expectedMillis", r.expected))
}

// noteAnswered logs how a job ended.
func (d *Desk) noteAnswered(w *work, now time.Duration) {
	attrs := []slog.Attr{
		slog.String("job", w.ID), slog.String("service", w.Service),
		millis("startedMillis", since(w.startedAt, w.receivedAt)), millis("answeredMillis", now-w.receivedAt),
		millis("dueMillis", w.objective.Due), slog.Int("queue", len(d.queue)),
	}
	if w.outcome.State == Complete {
		d.note(event.JobEnded, append(attrs, millis("endedMillis", since(w.endedAt, w.receivedAt)))...)
		return
	}
	attrs = append(attrs, slog.String("reason", w.outcome.Reason), slog.Int("tasksLeft", w.tasksLeft), slog.Int("running", w.live))
	attrs = append(attrs, d.roomFor(w.Service, w, now)...)
	switch w.outcome.State {
	case NotRun:
		d.note(event.JobRefused, append(attrs, millis("retryAfterMillis", w.outcome.RetryAfter))...)
	case Abandoned:
		d.note(event.JobAbandoned, attrs...)
	default:
		d.note(event.JobFailed, append(attrs, slog.Uint64("maxAttempts", uint64(w.Kind.GetMaxAttempts())))...)
	}
}

// noteRefused logs a job that was never taken in hand.
func (d *Desk) noteRefused(j Job, reason string) {
	attrs := []slog.Attr{
		slog.String("job", j.ID), slog.String("service", j.Service), slog.String("reason", reason),
		millis("retryAfterMillis", retryAfter), slog.Int("queue", len(d.queue)),
	}
	d.note(event.JobRefused, append(attrs, d.roomFor(j.Service, nil, d.clock.Now())...)...)
}

// roomFor tells how many workers of a service are known, how many have room for
// the next task of w, and how old the oldest word on them is.
func (d *Desk) roomFor(service string, w *work, now time.Duration) []slog.Attr {
	known, room := 0, 0
	age := time.Duration(0)
	for _, l := range d.links {
		if !l.watching() || l.word.GetService() != service {
			continue
		}
		known++
		age = max(age, now-l.wordAt)
		if l.mayLaunch(now) && w != nil && w.fitsAt(l) {
			room++
		}
	}
	attrs := []slog.Attr{slog.Int("workersKnown", known), millis("ageMillis", age)}
	if w != nil && w.tasksLeft > 0 {
		attrs = append(attrs, slog.Int("workersWithRoom", room))
	}
	return attrs
}

// fitsAt tells whether a task of the next step has room at the agent's worker.
func (w *work) fitsAt(l *link) bool {
	i := slices.IndexFunc(w.steps, func(s *step) bool { return s.left > 0 })
	if i < 0 {
		return false
	}
	s := w.steps[i]
	return s.need.Fits(l.room()) && (s.Label == "" || hasLabel(l.word, s.Label))
}

// since is the time from one reading to another, 0 where there is none.
func since(at, from time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return at - from
}

// noteConduct logs and counts where a worker has been ejected or readmitted.
func (d *Desk) noteConduct(l *link, before placement.Conduct) {
	worker, agent := slog.String("worker", l.word.GetId()), slog.String("agent", l.agent.GetId())
	switch {
	case l.conduct.Until == before.Until:
	case l.conduct.Until == 0:
		d.note(event.WorkerReadmitted, worker, agent)
	default:
		d.metrics.refusal("ejected")
		d.note(event.WorkerEjected, worker, agent, slog.Float64("failureRate", l.conduct.Rate),
			slog.Int("ejections", l.conduct.Ejections), millis("forMillis", l.conduct.Until-d.clock.Now()))
	}
}

// noteWord logs a change in what the worker is and does.
func (l *link) noteWord(state *wire.WorkerState) {
	if l.word.GetId() == state.GetId() && l.word.GetAccepting() == state.GetAccepting() && l.word.GetReason() == state.GetReason() {
		return
	}
	l.d.note(event.WorkerWord, slog.String("worker", state.GetId()), slog.String("agent", l.member.GetIncarnation().GetId()),
		slog.String("service", state.GetService()), slog.Bool("accepting", state.GetAccepting()), word("reason", state.GetReason()),
		slog.Uint64("wordVersion", state.GetVersion()))
}

// noteLost logs the first look at which the agent is silent.
func (l *link) noteLost(now time.Duration) {
	if l.lost {
		return
	}
	l.lost = true
	l.d.note(event.AgentLost, slog.String("agent", l.member.GetIncarnation().GetId()), slog.String("worker", l.word.GetId()),
		millis("silentMillis", now-l.answeredAt), slog.Int("running", len(l.runs)), millis("goneMillis", max(l.surelyEnded()-now, 0)))
}

// noteRegained logs the first answer after a silence, or the first of all.
func (l *link) noteRegained(now time.Duration) {
	if !l.lost {
		return
	}
	l.lost = false
	l.d.note(event.AgentRegained, slog.String("agent", l.agent.GetId()), slog.String("worker", l.word.GetId()),
		millis("silentMillis", now-l.answeredAt))
}

func (d *Desk) noteRestarted(agent *wire.Incarnation, l *link) {
	d.note(event.AgentRestarted, slog.String("agent", agent.GetId()), slog.String("peerIncarnation", agent.Life()), slog.Int("running", len(l.runs)))
}
