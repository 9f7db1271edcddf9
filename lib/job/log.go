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

// reported returns an attribute with a text that an agent reported. If the text
// is empty, so is the attribute, and it is not logged.
func reported(key, value string) slog.Attr {
	if value == "" {
		return slog.Attr{}
	}
	return slog.String(key, value)
}

// name returns the run as TASK/ATTEMPT.
func (r *run) name() string {
	return r.task.name + "/" + strconv.FormatUint(uint64(r.attempt), 10)
}

// runNames returns an attribute with the names of runs, joined by spaces.
func runNames(key string, runs []*run) slog.Attr {
	names := make([]string, len(runs))
	for i, r := range runs {
		names[i] = r.name()
	}
	return slog.String(key, strings.Join(names, " "))
}

func (d *Dispatcher) logReceived(job *activeJob) {
	d.logEvent(event.JobReceived, slog.String("job", job.ID), slog.String("service", job.Service), slog.String("kind", job.Kind.GetName()),
		slog.Int("tasks", job.tasksLeft), millis("idealMillis", job.ideal), millis("dueMillis", job.objective.Due),
		millis("deadlineMillis", job.timeout()), slog.String("turn", job.place.Turn.String()), slog.Int("queue", len(d.queue)))
}

// timeout returns how long after the receipt the caller stops waiting; 0 if
// there is no deadline.
func (job *activeJob) timeout() time.Duration {
	if job.deadlineAt == never {
		return 0
	}
	return job.deadlineAt - job.receivedAt
}

// placementInputs returns the values that the choice of a worker was based on.
func (d *Dispatcher) placementInputs(job *activeJob, l *link, now time.Duration) []slog.Attr {
	return []slog.Attr{
		slog.String("job", job.ID), slog.String("worker", l.reported.GetId()), slog.String("agent", l.agent.GetId()),
		slog.Int64("freeCpuMillis", l.free.CPUMillis), slog.Float64("factor", l.speedFactor(now)),
		millis("ageMillis", now-l.reportedAt), slog.Uint64("wordVersion", l.reported.GetVersion()),
		millis("waitedMillis", now-job.receivedAt), slog.Int("queue", len(d.queue)),
	}
}

// logPlaced logs the runs that an agent has accepted, and those of them that wait
// there for capacity.
func (d *Dispatcher) logPlaced(call *launch, accepted, waiting []*run) {
	if len(accepted) == 0 {
		return
	}
	attrs := append(call.inputs, runNames("runs", accepted))
	if len(waiting) > 0 {
		attrs = append(attrs, runNames("waiting", waiting))
	}
	d.logEvent(event.JobPlaced, attrs...)
}

func (d *Dispatcher) logLaunchUnanswered(call *launch, err error) {
	d.logEvent(event.LaunchUnanswered, slog.String("job", call.activeJob.ID), runNames("runs", call.runs), slog.String("agent", call.q.GetAgent().GetId()),
		slog.String("worker", call.q.GetWorker()), slog.Any("error", err))
}

func (d *Dispatcher) logHaltUnanswered(agent *wire.Incarnation, runs []*run, err error) {
	d.logEvent(event.HaltUnanswered, slog.String("agent", agent.GetId()), runNames("runs", runs), slog.Any("error", err))
}

// logRetry logs that a task is to be placed again.
func (d *Dispatcher) logRetry(r *run, cause, reason string, now time.Duration) {
	e := event.RunRetried
	if cause == causeRefused || cause == causeWaited {
		e = event.RunRefused
	}
	d.logEvent(e, slog.String("job", r.activeJob.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("reason", cause), reported("detail", reason),
		slog.Uint64("failed", uint64(r.task.failures)), slog.Uint64("maxAttempts", uint64(r.activeJob.Kind.GetMaxAttempts())),
		millis("ranMillis", now-r.sentAt))
}

// logEnd logs the end of a run that did not complete its task.
func (d *Dispatcher) logEnd(r *run, end *wire.RunEnd) {
	if end.GetHow() == wire.RunHow_RUN_HOW_DONE {
		return
	}
	d.logEvent(event.RunEnded, slog.String("job", r.activeJob.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("how", end.GetHow().Word()), reported("reason", end.GetReason()),
		slog.Int64("runMillis", end.GetRunMillis()))
}

func (d *Dispatcher) logHalted(r *run, why string, now time.Duration) {
	d.logEvent(event.RunHalted, slog.String("job", r.activeJob.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("reason", why), millis("ranMillis", now-r.sentAt), millis("expectedMillis", r.expected))
}

// logAnswered logs the outcome of a job.
func (d *Dispatcher) logAnswered(job *activeJob, now time.Duration) {
	attrs := []slog.Attr{
		slog.String("job", job.ID), slog.String("service", job.Service),
		millis("startedMillis", sinceIfSet(job.startedAt, job.receivedAt)), millis("answeredMillis", now-job.receivedAt),
		millis("dueMillis", job.objective.Due), slog.Int("queue", len(d.queue)),
	}
	if job.outcome.State == Complete {
		d.logEvent(event.JobEnded, append(attrs, millis("endedMillis", sinceIfSet(job.endedAt, job.receivedAt)))...)
		return
	}
	attrs = append(attrs, slog.String("reason", job.outcome.Reason), slog.Int("tasksLeft", job.tasksLeft), slog.Int("running", job.liveRuns))
	attrs = append(attrs, d.capacityAttrs(job.Service, job, now)...)
	switch job.outcome.State {
	case NotRun:
		d.logEvent(event.JobRefused, append(attrs, millis("retryAfterMillis", job.outcome.RetryAfter), millis("backlogMillis", job.backlogWait))...)
	case Abandoned:
		d.logEvent(event.JobAbandoned, attrs...)
	default:
		d.logEvent(event.JobFailed, append(attrs, slog.Uint64("maxAttempts", uint64(job.Kind.GetMaxAttempts())))...)
	}
}

// logRefused logs a job that was never accepted.
func (d *Dispatcher) logRefused(j Job, out Outcome) {
	attrs := []slog.Attr{
		slog.String("job", j.ID), slog.String("service", j.Service), slog.String("reason", out.Reason),
		millis("retryAfterMillis", out.RetryAfter), slog.Int("queue", len(d.queue)),
	}
	d.logEvent(event.JobRefused, append(attrs, d.capacityAttrs(j.Service, nil, d.clock.Now())...)...)
}

// logNotRepeated logs a job that has run in an earlier attempt and is not run again.
func (d *Dispatcher) logNotRepeated(j Job, out Outcome) {
	d.logEvent(event.JobNotRepeated, slog.String("job", j.ID), slog.String("service", j.Service), slog.String("reason", out.Reason))
}

// logJoined logs the outcome of a job that another request began, at this entry or
// another.
func (d *Dispatcher) logJoined(id string, at *wire.Incarnation, out Outcome, waited time.Duration) {
	d.logEvent(event.JobJoined, slog.String("job", id), slog.String("entry", at.GetId()), slog.String("state", out.State.String()),
		reported("reason", out.Reason), millis("waitedMillis", waited))
}

// capacityAttrs returns how many workers of a service are known, how many have
// capacity for a task of the job's next step, and the age of the oldest state
// report on them.
func (d *Dispatcher) capacityAttrs(service string, job *activeJob, now time.Duration) []slog.Attr {
	known, room := 0, 0
	age := time.Duration(0)
	for _, l := range d.links {
		if !l.hasState() || l.reported.GetService() != service {
			continue
		}
		known++
		age = max(age, now-l.reportedAt)
		if l.mayLaunch(now) && job != nil && job.fitsAt(l) {
			room++
		}
	}
	attrs := []slog.Attr{slog.Int("workersKnown", known), millis("ageMillis", age)}
	if job != nil && job.tasksLeft > 0 {
		attrs = append(attrs, slog.Int("workersWithRoom", room))
	}
	return attrs
}

// fitsAt reports whether a task of the first unfinished step fits on the
// agent's worker.
func (job *activeJob) fitsAt(l *link) bool {
	i := slices.IndexFunc(job.steps, func(s *step) bool { return s.unfinished > 0 })
	if i < 0 {
		return false
	}
	s := job.steps[i]
	return s.need.Fits(l.available()) && (s.Label == "" || hasLabel(l.reported, s.Label))
}

// sinceIfSet returns the time from from to at, or 0 if at is unset.
func sinceIfSet(at, from time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return at - from
}

// logHealthChange logs the ejection or readmission of a worker, and counts
// ejections.
func (d *Dispatcher) logHealthChange(l *link, before placement.WorkerHealth) {
	worker, agent := slog.String("worker", l.reported.GetId()), slog.String("agent", l.agent.GetId())
	switch {
	case l.health.EjectedUntil == before.EjectedUntil:
	case l.health.EjectedUntil == 0:
		d.logEvent(event.WorkerReadmitted, worker, agent)
	default:
		d.metrics.refusal("ejected")
		d.logEvent(event.WorkerEjected, worker, agent, slog.Float64("failureRate", l.health.Rate),
			slog.Int("ejections", l.health.Ejections), millis("forMillis", l.health.EjectedUntil-d.clock.Now()))
	}
}

// logState logs a change of the worker's identity or of whether it accepts
// runs.
func (l *link) logState(state *wire.WorkerState) {
	if l.reported.GetId() == state.GetId() && l.reported.GetAccepting() == state.GetAccepting() && l.reported.GetReason() == state.GetReason() {
		return
	}
	l.d.logEvent(event.WorkerWord, slog.String("worker", state.GetId()), slog.String("agent", l.member.GetIncarnation().GetId()),
		slog.String("service", state.GetService()), slog.Bool("accepting", state.GetAccepting()), reported("reason", state.GetReason()),
		slog.Uint64("wordVersion", state.GetVersion()))
}

// logSilence logs, once, that the agent has become silent.
func (l *link) logSilence(now time.Duration) {
	if l.silenceLogged {
		return
	}
	l.silenceLogged = true
	l.d.logEvent(event.AgentLost, slog.String("agent", l.member.GetIncarnation().GetId()), slog.String("worker", l.reported.GetId()),
		millis("silentMillis", now-l.answeredAt), slog.Int("running", len(l.runs)))
}

// logAwaited logs, once, that a task waits for the answer of the agent that has
// its run.
func (d *Dispatcher) logAwaited(r *run, now time.Duration) {
	if r.awaited {
		return
	}
	r.awaited = true
	d.logEvent(event.RunAwaited, slog.String("job", r.activeJob.ID), slog.String("task", r.task.name), slog.Uint64("attempt", uint64(r.attempt)),
		slog.String("worker", r.worker), slog.String("agent", r.link.member.GetIncarnation().GetId()),
		millis("silentMillis", now-r.link.answeredAt), millis("ranMillis", now-r.sentAt))
}

// logRegained logs the first answer of the agent, or its first one after it was
// logged as silent.
func (l *link) logRegained(now time.Duration) {
	if !l.silenceLogged {
		return
	}
	l.silenceLogged = false
	l.d.logEvent(event.AgentRegained, slog.String("agent", l.agent.GetId()), slog.String("worker", l.reported.GetId()),
		millis("silentMillis", now-l.answeredAt))
}

func (d *Dispatcher) logRestarted(agent *wire.Incarnation, l *link) {
	d.logEvent(event.AgentRestarted, slog.String("agent", agent.GetId()), slog.String("peerIncarnation", agent.HexNumber()), slog.Int("running", len(l.runs)))
}
