package job

import "time"

// finish sets the outcome of a job and stops its remaining runs. Only the
// first outcome counts.
func (d *Dispatcher) finish(w *workItem, out Outcome) {
	if w.answered {
		return
	}
	now := d.clock.Now()
	w.answered = true
	w.outcome = out
	close(w.done)
	d.dequeue(w)
	for _, t := range w.tasks {
		if t.run != nil && out.State != Complete {
			d.halt(t.run, reasonSibling, now)
		}
	}
	d.noteFinish(w, now)
	d.durableJobs.recordJobEnd(w)
	d.removeIfSettled(w)
}

// noteFinish logs and counts the outcome of a job.
func (d *Dispatcher) noteFinish(w *workItem, now time.Duration) {
	if w.endedAt != 0 {
		d.metrics.answered.RecordDuration(now - w.endedAt)
	}
	switch w.outcome.State {
	case Complete:
	case NotRun:
		d.metrics.refusal(w.outcome.Reason)
	default:
		d.metrics.failure(w.outcome.Reason)
	}
	d.logAnswered(w, now)
}

// removeIfSettled removes a job that is answered and has no runs left.
func (d *Dispatcher) removeIfSettled(w *workItem) {
	if !w.answered || w.liveRuns > 0 || w.durable.isOpen() || d.jobs[w.ID] != w {
		return
	}
	delete(d.jobs, w.ID)
	mark := lastAttempt{attempt: w.baseAttempt, at: d.clock.Now()}
	for _, t := range w.tasks {
		mark.attempt = max(mark.attempt, t.attempt)
	}
	d.attempts[w.ID] = mark
	close(w.settled)
}

// stoppedOutcome returns the outcome of a job that is stopped before it is
// complete.
func (d *Dispatcher) stoppedOutcome(w *workItem, reason string) Outcome {
	if w.isUntouched() {
		return Outcome{State: NotRun, Reason: reason, RetryAfter: retryAfter}
	}
	return Outcome{State: Abandoned, Reason: reason}
}

// giveUp ends a job that can't complete while its result is still useful.
func (d *Dispatcher) giveUp(w *workItem, reason string) {
	if w.startedAt == 0 {
		d.recordDelay(w, d.clock.Now())
	}
	d.finish(w, d.stoppedOutcome(w, reason))
}

// isUntouched reports whether no task of the job has run or may still start.
func (w *workItem) isUntouched() bool { return w.ran == 0 && w.liveRuns == 0 }
