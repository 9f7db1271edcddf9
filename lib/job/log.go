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

func (d *Dispatcher) logEvent(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), d.log, attrs...)
}

// millis returns an attribute with a duration in milliseconds.
func millis(key string, value time.Duration) slog.Attr {
	return slog.Int64(key, value.Milliseconds())
}

// word returns an attribute, empty if the value is.
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

func (d *Dispatcher) logReceived(w *workItem) {
	d.logEvent(event.JobReceived, slog.String("job", w.ID), slog.String("service", w.Service), slog.String("kind", w.Kind.GetName()),
		slog.Int("tasks", w.tasksLeft), millis("idealMillis", w.ideal), millis("dueMillis", w.objective.Due),
		millis("deadlineMillis", w.patience()), slog.Int("queue", len(d.queue)))
}

// patience returns how long after the receipt the caller stops waiting; 0 if
// there is no deadline.
func (w *workItem) patience() time.Duration {
	if w.deadlineAt == never {
		return 0
	}
	return w.deadlineAt - w.receivedAt
}

// inputsOf returns the values that the choice of a worker was based on.
func (d *Dispatcher) inputsOf(w *workItem, l *link, now time.Duration) []slog.Attr {
	return []slog.Attr{
		slog.String("job", w.ID), slog.String("worker", l.word.GetId()), slog.String("agent", l.agent.GetId()),
		slog.Int64("freeCpuMillis", l.free.CPUMillis), slog.Float64("factor", l.factor(now)),
		millis("ageMillis", now-l.wordAt), slog.Uint64("wordVersion", l.word.GetVersion()),
		millis("waitedMillis", now-w.receivedAt), slog.Int("queue", len(d.queue)),
	}
}

// logPlaced logs the runs that an agent has accepted.
func (d *Dispatcher) logPlaced(o *launch, taken []*run) {
	if len(taken) > 0 {
		d.logEvent(event.JobPlaced, append(o.inputs, namesOf(taken))...)
	}
}

func (d *Dispatcher) logLaunchUnanswered(o *launch, err error) {
	d.logEvent(event.LaunchUnanswered, slog.String("job", o.workItem.ID), namesOf(o.runs), slog.String("agent", o.q.GetAgent().GetId()),
		slog.String("worker", o.q.GetWorker()), slog.Any("error", err))
}

func (d *Dispatcher) logHaltUnanswered(agent *wire.Incarnation, runs []*run, err error) {
	d.logEvent(event.HaltUnanswered, slog.String("agent", agent.GetId()), namesOf(runs), slog.Any("error", err))
}

// logRetry logs that a task is to be placed again.
func (d *Dispatcher) logRetry(r *run, cause, reason string, now time.Duration) {
	e := event.RunRetried
	if cause == causeRefused {
		e = event.RunRefused
	}
	d.logEvent(e, slog.String("job", r.workItem.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("reason", cause), word("detail", reason),
		slog.Uint64("failed", uint64(r.task.failed)), slog.Uint64("maxAttempts", uint64(r.workItem.Kind.GetMaxAttempts())),
		millis("ranMillis", now-r.sentAt))
}

// logEnd logs the end of a run that did not complete its task.
func (d *Dispatcher) logEnd(r *run, end *wire.RunEnd) {
	if end.GetHow() == wire.RunHow_RUN_HOW_DONE {
		return
	}
	d.logEvent(event.RunEnded, slog.String("job", r.workItem.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("how", end.GetHow().Word()), word("reason", end.GetReason()),
		slog.Int64("runMillis", end.GetRunMillis()))
}

func (d *Dispatcher) logHalted(r *run, why string, now time.Duration) {
	d.logEvent(event.RunHalted, slog.String("job", r.workItem.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("reason", why), millis("ranMillis", now-r.sentAt), millis("expectedMillis", r.expected))
}

// logAnswered logs the outcome of a job.
func (d *Dispatcher) logAnswered(w *workItem, now time.Duration) {
	attrs := []slog.Attr{
		slog.String("job", w.ID), slog.String("service", w.Service),
		millis("startedMillis", since(w.startedAt, w.receivedAt)), millis("answeredMillis", now-w.receivedAt),
		millis("dueMillis", w.objective.Due), slog.Int("queue", len(d.queue)),
	}
	if w.outcome.State == Complete {
		d.logEvent(event.JobEnded, append(attrs, millis("endedMillis", since(w.endedAt, w.receivedAt)))...)
		return
	}
	attrs = append(attrs, slog.String("reason", w.outcome.Reason), slog.Int("tasksLeft", w.tasksLeft), slog.Int("running", w.liveRuns))
	attrs = append(attrs, d.roomFor(w.Service, w, now)...)
	switch w.outcome.State {
	case NotRun:
		d.logEvent(event.JobRefused, append(attrs, millis("retryAfterMillis", w.outcome.RetryAfter))...)
	case Abandoned:
		d.logEvent(event.JobAbandoned, attrs...)
	default:
		d.logEvent(event.JobFailed, append(attrs, slog.Uint64("maxAttempts", uint64(w.Kind.GetMaxAttempts())))...)
	}
}

// logRefused logs a job that was never accepted.
func (d *Dispatcher) logRefused(j Job, reason string) {
	attrs := []slog.Attr{
		slog.String("job", j.ID), slog.String("service", j.Service), slog.String("reason", reason),
		millis("retryAfterMillis", retryAfter), slog.Int("queue", len(d.queue)),
	}
	d.logEvent(event.JobRefused, append(attrs, d.roomFor(j.Service, nil, d.clock.Now())...)...)
}

// roomFor returns how many workers of a service are known, how many have
// capacity for the next task of w, and the age of the oldest state report on
// them.
func (d *Dispatcher) roomFor(service string, w *workItem, now time.Duration) []slog.Attr {
	known, room := 0, 0
	age := time.Duration(0)
	for _, l := range d.links {
		if !l.hasState() || l.word.GetService() != service {
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

// fitsAt reports whether a task of the next step fits on the agent's worker.
func (w *workItem) fitsAt(l *link) bool {
	i := slices.IndexFunc(w.steps, func(s *step) bool { return s.left > 0 })
	if i < 0 {
		return false
	}
	s := w.steps[i]
	return s.need.Fits(l.room()) && (s.Label == "" || hasLabel(l.word, s.Label))
}

// since returns the time between two readings, or 0 if at is unset.
func since(at, from time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return at - from
}

// logConduct logs and counts the ejection or readmission of a worker.
func (d *Dispatcher) logConduct(l *link, before placement.WorkerHealth) {
	worker, agent := slog.String("worker", l.word.GetId()), slog.String("agent", l.agent.GetId())
	switch {
	case l.conduct.EjectedUntil == before.EjectedUntil:
	case l.conduct.EjectedUntil == 0:
		d.logEvent(event.WorkerReadmitted, worker, agent)
	default:
		d.metrics.refusal("ejected")
		d.logEvent(event.WorkerEjected, worker, agent, slog.Float64("failureRate", l.conduct.Rate),
			slog.Int("ejections", l.conduct.Ejections), millis("forMillis", l.conduct.EjectedUntil-d.clock.Now()))
	}
}

// logState logs a change of the worker's identity or of whether it accepts
// runs.
func (l *link) logState(state *wire.WorkerState) {
	if l.word.GetId() == state.GetId() && l.word.GetAccepting() == state.GetAccepting() && l.word.GetReason() == state.GetReason() {
		return
	}
	l.d.logEvent(event.WorkerWord, slog.String("worker", state.GetId()), slog.String("agent", l.member.GetIncarnation().GetId()),
		slog.String("service", state.GetService()), slog.Bool("accepting", state.GetAccepting()), word("reason", state.GetReason()),
		slog.Uint64("wordVersion", state.GetVersion()))
}

// logSilence logs, once, that the agent has become silent.
func (l *link) logSilence(now time.Duration) {
	if l.silenceLogged {
		return
	}
	l.silenceLogged = true
	l.d.logEvent(event.AgentLost, slog.String("agent", l.member.GetIncarnation().GetId()), slog.String("worker", l.word.GetId()),
		millis("silentMillis", now-l.answeredAt), slog.Int("running", len(l.runs)), millis("goneMillis", max(l.runsEndedBy()-now, 0)))
}

// logRegained logs the first answer after a silence, or the first of all.
func (l *link) logRegained(now time.Duration) {
	if !l.silenceLogged {
		return
	}
	l.silenceLogged = false
	l.d.logEvent(event.AgentRegained, slog.String("agent", l.agent.GetId()), slog.String("worker", l.word.GetId()),
		millis("silentMillis", now-l.answeredAt))
}

func (d *Dispatcher) logRestarted(agent *wire.Incarnation, l *link) {
	d.logEvent(event.AgentRestarted, slog.String("agent", agent.GetId()), slog.String("peerIncarnation", agent.Life()), slog.Int("running", len(l.runs)))
}
