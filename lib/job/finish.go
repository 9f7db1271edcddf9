package job

import "time"

// finish answers a job and stops what is left of it. The first outcome counts.
func (d *Desk) finish(w *work, out Outcome) {
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
	d.keeper.noteEnded(w)
	d.release(w)
}

// noteFinish logs and counts how a job ended.
func (d *Desk) noteFinish(w *work, now time.Duration) {
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
	d.noteAnswered(w, now)
}

// release forgets a job that is answered and of which no run is left.
func (d *Desk) release(w *work) {
	if !w.answered || w.live > 0 || w.kept.isOpen() || d.jobs[w.ID] != w {
		return
	}
	delete(d.jobs, w.ID)
	mark := attemptMark{attempt: w.base, at: d.clock.Now()}
	for _, t := range w.tasks {
		mark.attempt = max(mark.attempt, t.attempt)
	}
	d.attempts[w.ID] = mark
	close(w.settled)
}

// stopped is the outcome of a job that nobody waits for any more.
func (d *Desk) stopped(w *work, reason string) Outcome {
	if w.untouched() {
		return Outcome{State: NotRun, Reason: reason, RetryAfter: retryAfter}
	}
	return Outcome{State: Abandoned, Reason: reason}
}

// giveUp ends a job that will not be worth anything.
func (d *Desk) giveUp(w *work, reason string) {
	if w.startedAt == 0 {
		d.noteDelay(w, d.clock.Now())
	}
	d.finish(w, d.stopped(w, reason))
}

// untouched tells whether no task of the job has run or may still start.
func (w *work) untouched() bool { return w.ran == 0 && w.live == 0 }
