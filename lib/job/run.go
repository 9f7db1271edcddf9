package job

import (
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/wire"
)

const (
	// A run counts as hanging after hangFactor times its expected run time, but
	// not before it exceeds the expected run time by hangExtra.
	hangFactor = 4
	hangExtra  = 300 * time.Millisecond
)

// run is one attempt to run a task on a worker. It exists until it is certain
// that the attempt has ended.
type run struct {
	activeJob *activeJob
	task      *task
	link      *link
	attempt   uint32
	// worker is the worker incarnation on which the run was started.
	worker string
	need   capacity.Vector
	sentAt time.Duration
	// reserved is set while the run's capacity is reserved at the link: until
	// the launch is answered or has failed.
	reserved bool
	// expected is the run time expected on this worker.
	expected time.Duration
	// remote is set for a run outside the rack that its step prefers.
	remote bool
	// trial is set for a run that tests whether an ejected worker has
	// recovered.
	trial bool
	// started is set once the run has started, or may have.
	started bool
	// wait is how long the run may wait at the agent for capacity; 0 if it starts at
	// once or is refused.
	wait time.Duration
	// waitUntil is when the wait of a run that the agent has queued is certainly
	// over; 0 if it isn't queued.
	waitUntil time.Duration
	// awaited is set once it was logged that the run waits for a silent agent.
	awaited bool
	halt    haltState
}

// haltState is the progress of stopping a run. why is the reason; it is empty
// unless the run is to be stopped.
type haltState struct {
	why     string
	at      time.Duration
	acked   bool
	ackedAt time.Duration
}

func (r *run) key() runKey { return runKey{r.task.name, r.attempt} }

func (r *run) id() *wire.RunId { return &wire.RunId{Task: r.task.name, Attempt: r.attempt} }

// hangAfter returns the run time from which the run counts as hanging. It
// grows with each run of the task that was stopped for hanging.
func (r *run) hangAfter() time.Duration {
	limit := max(hangFactor*r.expected, r.expected+hangExtra)
	if r.activeJob.kindStats.ratio.N < priorWeight {
		limit *= 2
	}
	return limit << min(r.task.hangs, 4)
}

// overrun returns by how much the run has exceeded its expected time.
func (r *run) overrun(now time.Duration) time.Duration { return now - r.begunBy() - r.expected }

// beginRun creates and registers a new run of a task at an agent.
func (d *Dispatcher) beginRun(job *activeJob, t *task, l *link, now time.Duration) *run {
	t.attempt++
	r := &run{
		activeJob: job,
		task:      t,
		link:      l,
		attempt:   t.attempt,
		worker:    l.reported.GetId(),
		need:      t.step.need,
		sentAt:    now,
		reserved:  true,
		expected:  time.Duration(float64(job.kindStats.expected(t.step.estimate)) * l.speed.value(now)),
		remote:    t.step.Rack != "" && !hasLabel(l.reported, t.step.Rack),
	}
	if l.health.Ejected() {
		r.trial = true
		l.health = l.health.WithTrial()
	}
	t.run = r
	t.step.runsAt[r.worker]++
	l.runs[r.key()] = r
	l.wake()
	l.reserved = l.reserved.Plus(r.need)
	job.liveRuns++
	return r
}

// setStarted records whether the run has started, or may have.
func (r *run) setStarted(started bool) {
	switch {
	case started && !r.started:
		r.activeJob.started++
	case !started && r.started:
		r.activeJob.started--
	}
	r.started = started
}

// removeRun removes a run that has certainly ended.
func (d *Dispatcher) removeRun(r *run) {
	l := r.link
	r.activeJob.overrun = max(r.activeJob.overrun, r.overrun(d.clock.Now()))
	delete(l.runs, r.key())
	l.haltSender.remove(r)
	d.unreserve(r)
	if r.trial && r.worker == l.reported.GetId() && l.health.Trial {
		l.health = l.health.WithoutTrial()
	}
	if left := r.task.step.runsAt[r.worker] - 1; left > 0 {
		r.task.step.runsAt[r.worker] = left
	} else {
		delete(r.task.step.runsAt, r.worker)
	}
	if r.task.run == r {
		r.task.run = nil
	}
	r.activeJob.liveRuns--
	d.removeIfSettled(r.activeJob)
}

// unreserve frees the capacity that is reserved for a run while its launch is
// unanswered.
func (d *Dispatcher) unreserve(r *run) {
	if !r.reserved {
		return
	}
	r.reserved = false
	r.link.reserved = r.link.reserved.Minus(r.need)
}

// runEnded processes the reported end of a run.
func (d *Dispatcher) runEnded(l *link, end *wire.RunEnd, now time.Duration) {
	r := l.runs[runKey{end.GetRun().GetTask(), end.GetRun().GetAttempt()}]
	if end.GetEpoch() > 0 {
		r = d.durableJobs.recordRunEnd(l, end, r)
	}
	if r == nil {
		return
	}
	if r.wait > 0 && end.GetHow() != wire.RunHow_RUN_HOW_NOT_STARTED {
		d.runStarted(r, now-time.Duration(end.GetRunMillis())*time.Millisecond)
	}
	r.setStarted(end.GetHow() != wire.RunHow_RUN_HOW_NOT_STARTED)
	if r.started {
		r.activeJob.claimant = nil // the claim was granted
	}
	d.logEnd(r, end)
	switch end.GetHow() {
	case wire.RunHow_RUN_HOW_DONE:
		d.runDone(r, time.Duration(end.GetRunMillis())*time.Millisecond, now)
	case wire.RunHow_RUN_HOW_FAILED:
		d.runFailed(r, end.GetReason(), now)
	case wire.RunHow_RUN_HOW_NOT_STARTED:
		if end.GetReason() == wire.ReasonClaimed {
			d.runClaimedElsewhere(r)
			return
		}
		cause := "notStarted"
		if r.isWaiting() {
			cause = causeWaited
		}
		d.retryTask(r, cause, end.GetReason(), now)
	case wire.RunHow_RUN_HOW_STOPPED:
		d.retryTask(r, "stopped", end.GetReason(), now)
	default:
		d.retryTask(r, "lost", end.GetReason(), now)
	}
}

// runDone processes a run that has completed its task.
func (d *Dispatcher) runDone(r *run, ran, now time.Duration) {
	job := r.activeJob
	if ran <= 0 {
		ran = now - r.begunBy()
	}
	d.recordRunTime(r, ran, now)
	before := r.link.health
	r.link.health = before.WithSuccess()
	d.logHealthChange(r.link, before)
	job.endedAt = now
	d.metrics.ran.RecordDuration(now - r.sentAt)
	released := false
	if !job.answered && !r.task.done {
		r.task.done = true
		released = job.taskCompleted(r.task.step)
	}
	if job.tasksLeft == 0 {
		d.finish(job, Outcome{State: Complete})
	}
	d.removeRun(r)
	if released && job.durable.isOpen() {
		d.applyRecords(job) // a former owner may have run tasks of the released steps
	}
	d.enqueue(job)
}

// runFailed processes a failed run. The job fails with the last attempt that
// its kind allows.
func (d *Dispatcher) runFailed(r *run, reason string, now time.Duration) {
	job, l := r.activeJob, r.link
	before := l.health
	l.health = before.WithFailure(job.ID, d.peerFailureRate(l), now)
	d.logHealthChange(l, before)
	r.task.failures++
	if r.task.failures >= max(job.Kind.GetMaxAttempts(), 1) {
		d.finish(job, Outcome{State: Failed, Reason: reasonAttemptsUsedUp})
	}
	r.task.avoid = append(r.task.avoid, r.worker)
	d.retryTask(r, "failed", reason, now)
}

// runClaimedElsewhere processes a run that was not started as another entry has claimed
// its job.
func (d *Dispatcher) runClaimedElsewhere(r *run) {
	job := r.activeJob
	d.removeRun(r)
	d.finish(job, d.stoppedOutcome(job, wire.ReasonClaimed))
}

// retryTask removes a run and queues its task again, unless the task or its job
// has ended.
func (d *Dispatcher) retryTask(r *run, cause, reason string, now time.Duration) {
	job := r.activeJob
	if r.halt.why != "" {
		cause = r.halt.why
	}
	d.removeRun(r)
	if job.answered {
		return
	}
	d.metrics.retry(cause)
	d.logRetry(r, cause, reason, now)
	if r.task.done {
		return
	}
	job.pending = append(job.pending, r.task)
	d.enqueue(job)
}

// retryOrphans retries the tasks whose runs were under earlier incarnations of
// an agent, once the present one reports that none of these runs is left. Runs
// of jobs for which the agent has yet to answer a takeover request are kept,
// as their end may still be reported.
func (d *Dispatcher) retryOrphans(l *link, now time.Duration) {
	orphans := l.orphans
	l.orphans = nil
	for _, r := range orphans {
		if l.takeoverSender.awaits(r.activeJob) {
			l.orphans = append(l.orphans, r)
			continue
		}
		r.setStarted(true)
		d.retryTask(r, reasonAgentRestarted, "", now)
	}
}

func hasLabel(state *wire.WorkerState, label string) bool {
	for _, one := range state.GetLabels() {
		if one == label {
			return true
		}
	}
	return false
}
