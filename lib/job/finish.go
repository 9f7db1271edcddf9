package job

import (
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// finish sets the outcome of a job and stops its remaining runs. Only the
// first outcome counts.
func (d *Dispatcher) finish(job *activeJob, out Outcome) {
	if job.answered {
		return
	}
	now := d.clock.Now()
	job.answered = true
	job.outcome = out
	close(job.done)
	d.dequeue(job)
	for _, t := range job.tasks {
		if t.run != nil && out.State != Complete {
			d.halt(t.run, reasonJobEnded, now)
		}
	}
	if job.liveRuns > 0 && job.durable == nil {
		job.dropUnstartedTasks()
	}
	if out.State == NotRun && tellsCaller(out.Reason) {
		d.history.AddRefused(job.ID, job.place, now)
	}
	d.reportOutcome(job, now)
	d.durableJobs.recordJobEnd(job)
	d.removeIfSettled(job)
}

// reportOutcome logs and counts the outcome of a job.
func (d *Dispatcher) reportOutcome(job *activeJob, now time.Duration) {
	if job.endedAt != 0 {
		d.metrics.answered.RecordDuration(now - job.endedAt)
	}
	if job.outcome.Reason == wire.ReasonClaimed { // its request joins the job elsewhere
		return
	}
	switch job.outcome.State {
	case Complete:
	case NotRun:
		d.metrics.refusal(job.outcome.Reason)
	default:
		d.metrics.failure(job.outcome.Reason)
	}
	d.logAnswered(job, now)
}

// removeIfSettled removes a job that is answered, has no runs left and, if it
// is durable, has nothing left to store.
func (d *Dispatcher) removeIfSettled(job *activeJob) {
	if !job.answered || job.liveRuns > 0 || job.durable.isOpen() || d.jobs[job.ID] != job {
		return
	}
	delete(d.jobs, job.ID)
	ended := endedJob{attempt: job.baseAttempt, ran: !job.hasNotRun(), outcome: job.outcome, endedAt: d.clock.Now()}
	for _, t := range job.tasks {
		ended.attempt = max(ended.attempt, t.attempt)
	}
	if ended.attempt > 0 || ended.outcome.Reason == reasonCancelled { // other jobs that have not run may run anew
		d.endedJobs[job.ID] = ended
	}
	close(job.settled)
}

// dropUnstartedTasks drops the tasks that have had no run, as an answered job may wait
// long for the end of its runs.
func (job *activeJob) dropUnstartedTasks() {
	job.tasks = slices.DeleteFunc(slices.Clone(job.tasks), func(t *task) bool {
		return t.run == nil && t.attempt == job.baseAttempt
	})
}

// stoppedOutcome returns the outcome of a job that is stopped before it is
// complete: NotRun if no task has run or may still start, otherwise Abandoned.
func (d *Dispatcher) stoppedOutcome(job *activeJob, reason string) Outcome {
	if job.hasNotRun() {
		return Outcome{State: NotRun, Reason: reason, RetryAfter: d.retryAfter(job, reason, d.clock.Now())}
	}
	return Outcome{State: Abandoned, Reason: reason}
}

// giveUp ends a job that is not expected to complete while its result is
// useful.
func (d *Dispatcher) giveUp(job *activeJob, reason string) {
	if job.startedAt == 0 {
		d.recordWait(job, d.clock.Now())
	}
	d.finish(job, d.stoppedOutcome(job, reason))
}

// hasNotRun reports whether no task of the job, in any attempt, has run or may still
// start.
func (job *activeJob) hasNotRun() bool {
	return job.started == 0 && job.liveRuns == 0 && !job.ranBefore
}
