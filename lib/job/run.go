package job

import (
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/wire"
)

const (
	// hangFactor and hangExtra say from when on a run counts as hanging: after
	// so many times its expected run time, and so much more than it.
	hangFactor = 4
	hangExtra  = 300 * time.Millisecond
)

// run is one start of a task at a worker, until it has surely ended.
type run struct {
	work    *work
	task    *task
	link    *link
	attempt uint32
	// worker is the life at which it was started.
	worker string
	need   capacity.Vector
	sentAt time.Duration
	// unanswered is set until the launch was answered or given up.
	unanswered bool
	// expected run time at this worker.
	expected time.Duration
	// remote is set for a run away from the rack that its step prefers.
	remote bool
	trial  bool
	// ran is set once the run did something, or may have.
	ran  bool
	halt haltState
}

// haltState is how far the stopping of a run has come. Why is empty where it
// isn't to be stopped.
type haltState struct {
	why     string
	at      time.Duration
	acked   bool
	ackedAt time.Duration
}

func (r *run) key() runKey { return runKey{r.task.name, r.attempt} }

func (r *run) id() *wire.RunId { return &wire.RunId{Task: r.task.name, Attempt: r.attempt} }

// hangAfter is the run time from which the run counts as hanging. It grows with
// each run of the task that was stopped for it.
func (r *run) hangAfter() time.Duration {
	limit := max(hangFactor*r.expected, r.expected+hangExtra)
	if r.work.kind.ratio.N < trust {
		limit *= 2
	}
	return limit << min(r.task.hangs, 4)
}

// begin records a new run of a task at a link.
func (d *Desk) begin(w *work, t *task, l *link, now time.Duration) *run {
	t.attempt++
	r := &run{
		work:       w,
		task:       t,
		link:       l,
		attempt:    t.attempt,
		worker:     l.word.GetId(),
		need:       t.step.need,
		sentAt:     now,
		unanswered: true,
		expected:   time.Duration(float64(w.kind.expected(t.step.estimate)) * l.speed.value(now)),
		remote:     t.step.Rack != "" && !hasLabel(l.word, t.step.Rack),
	}
	if l.conduct.Ejected() {
		r.trial = true
		l.conduct = l.conduct.WithTrial()
	}
	t.run = r
	t.step.placed[r.worker]++
	l.runs[r.key()] = r
	l.unanswered = l.unanswered.Plus(r.need)
	w.live++
	return r
}

// ranAtAll notes whether a run did something, or may have.
func (r *run) ranAtAll(ran bool) {
	switch {
	case ran && !r.ran:
		r.work.ran++
	case !ran && r.ran:
		r.work.ran--
	}
	r.ran = ran
}

// settle takes a run as surely ended.
func (d *Desk) settle(r *run) {
	l := r.link
	delete(l.runs, r.key())
	l.halter.settled(r)
	d.unreserve(r)
	if r.trial && r.worker == l.word.GetId() && l.conduct.Trial {
		l.conduct = l.conduct.WithoutTrial()
	}
	if left := r.task.step.placed[r.worker] - 1; left > 0 {
		r.task.step.placed[r.worker] = left
	} else {
		delete(r.task.step.placed, r.worker)
	}
	if r.task.run == r {
		r.task.run = nil
	}
	r.work.live--
	d.release(r.work)
}

// unreserve frees what was set aside until the launch of a run is answered.
func (d *Desk) unreserve(r *run) {
	if !r.unanswered {
		return
	}
	r.unanswered = false
	r.link.unanswered = r.link.unanswered.Minus(r.need)
}

// ended takes in the end of a run.
func (d *Desk) ended(l *link, end *wire.RunEnd, now time.Duration) {
	r := l.runs[runKey{end.GetRun().GetTask(), end.GetRun().GetAttempt()}]
	if end.GetEpoch() > 0 {
		r = d.keeper.takeEnd(l, end, r)
	}
	if r == nil {
		return
	}
	r.ranAtAll(end.GetHow() != wire.RunHow_RUN_HOW_NOT_STARTED)
	d.noteEnd(r, end)
	switch end.GetHow() {
	case wire.RunHow_RUN_HOW_DONE:
		d.taskDone(r, time.Duration(end.GetRunMillis())*time.Millisecond, now)
	case wire.RunHow_RUN_HOW_FAILED:
		d.taskFailed(r, end.GetReason(), now)
	case wire.RunHow_RUN_HOW_NOT_STARTED:
		d.again(r, "notStarted", end.GetReason(), now)
	case wire.RunHow_RUN_HOW_STOPPED:
		d.again(r, "stopped", end.GetReason(), now)
	default:
		d.again(r, "lost", end.GetReason(), now)
	}
}

// taskDone takes a task as done.
func (d *Desk) taskDone(r *run, ran, now time.Duration) {
	w := r.work
	if ran <= 0 {
		ran = now - r.sentAt
	}
	d.learn(r, ran, now)
	before := r.link.conduct
	r.link.conduct = before.WithDone()
	d.noteConduct(r.link, before)
	w.endedAt = now
	d.metrics.ran.RecordDuration(now - r.sentAt)
	if !w.answered && !r.task.done {
		r.task.done = true
		w.completed(r.task.step)
	}
	if w.tasksLeft == 0 {
		d.finish(w, Outcome{State: Complete})
	}
	d.settle(r)
	d.enqueue(w)
}

// taskFailed counts a failed run, and ends the job after the last attempt.
func (d *Desk) taskFailed(r *run, reason string, now time.Duration) {
	w, l := r.work, r.link
	before := l.conduct
	l.conduct = before.WithFailure(w.ID, d.usualRate(l), now)
	d.noteConduct(l, before)
	r.task.failed++
	if r.task.failed >= max(w.Kind.GetMaxAttempts(), 1) {
		d.finish(w, Outcome{State: Failed, Reason: reasonAttempts})
	}
	r.task.avoid = append(r.task.avoid, r.worker)
	d.again(r, "failed", reason, now)
}

// again starts the task of a settled run anew, unless its job has ended.
func (d *Desk) again(r *run, cause, reason string, now time.Duration) {
	w := r.work
	if r.halt.why != "" {
		cause = r.halt.why
	}
	d.settle(r)
	if w.answered {
		return
	}
	d.metrics.retry(cause)
	d.noteAgain(r, cause, reason, now)
	if r.task.done {
		return
	}
	w.pending = append(w.pending, r.task)
	d.enqueue(w)
}

// clear settles the runs under earlier incarnations of an agent, once its
// successor says that none is left.
func (d *Desk) clear(l *link, now time.Duration) {
	orphans := l.orphans
	l.orphans = nil
	for _, r := range orphans {
		if l.taker.has(r.work) {
			l.orphans = append(l.orphans, r)
			continue
		}
		r.ranAtAll(true)
		d.again(r, reasonRestarted, "", now)
	}
}

func hasLabel(word *wire.WorkerState, label string) bool {
	for _, one := range word.GetLabels() {
		if one == label {
			return true
		}
	}
	return false
}
