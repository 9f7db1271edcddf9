package job

import (
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/wire"
)

const (
	// hangFactor and hangExtra determine when a run counts as hanging: after
	// hangFactor times its expected run time, and at least hangExtra more
	// than it.
	hangFactor = 4
	hangExtra  = 300 * time.Millisecond
)

// run is one start of a task at a worker, until it has certainly ended.
type run struct {
	workItem *workItem
	task     *task
	link     *link
	attempt  uint32
	// worker is the incarnation at which the run was started.
	worker string
	need   capacity.Vector
	sentAt time.Duration
	// unanswered is set until the launch was answered or given up.
	unanswered bool
	// expected is the run time expected at this worker.
	expected time.Duration
	// remote is set for a run away from the rack that its step prefers.
	remote bool
	trial  bool
	// ran is set once the run has started, or may have.
	ran  bool
	halt haltState
}

// haltState is the progress of stopping a run. why is empty unless the run is
// to be stopped.
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
	if r.workItem.kindStats.ratio.N < priorWeight {
		limit *= 2
	}
	return limit << min(r.task.hangs, 4)
}

// begin records a new run of a task at an agent.
func (d *Dispatcher) begin(w *workItem, t *task, l *link, now time.Duration) *run {
	t.attempt++
	r := &run{
		workItem:   w,
		task:       t,
		link:       l,
		attempt:    t.attempt,
		worker:     l.word.GetId(),
		need:       t.step.need,
		sentAt:     now,
		unanswered: true,
		expected:   time.Duration(float64(w.kindStats.expected(t.step.estimate)) * l.speed.value(now)),
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
	w.liveRuns++
	return r
}

// setRan records whether the run has started, or may have.
func (r *run) setRan(ran bool) {
	switch {
	case ran && !r.ran:
		r.workItem.ran++
	case !ran && r.ran:
		r.workItem.ran--
	}
	r.ran = ran
}

// settle removes a run that has certainly ended.
func (d *Dispatcher) settle(r *run) {
	l := r.link
	delete(l.runs, r.key())
	l.haltSender.settled(r)
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
	r.workItem.liveRuns--
	d.removeIfSettled(r.workItem)
}

// unreserve frees the capacity reserved until the launch of a run is
// answered.
func (d *Dispatcher) unreserve(r *run) {
	if !r.unanswered {
		return
	}
	r.unanswered = false
	r.link.unanswered = r.link.unanswered.Minus(r.need)
}

// ended processes the reported end of a run.
func (d *Dispatcher) ended(l *link, end *wire.RunEnd, now time.Duration) {
	r := l.runs[runKey{end.GetRun().GetTask(), end.GetRun().GetAttempt()}]
	if end.GetEpoch() > 0 {
		r = d.durableJobs.recordRunEnd(l, end, r)
	}
	if r == nil {
		return
	}
	r.setRan(end.GetHow() != wire.RunHow_RUN_HOW_NOT_STARTED)
	d.logEnd(r, end)
	switch end.GetHow() {
	case wire.RunHow_RUN_HOW_DONE:
		d.taskDone(r, time.Duration(end.GetRunMillis())*time.Millisecond, now)
	case wire.RunHow_RUN_HOW_FAILED:
		d.taskFailed(r, end.GetReason(), now)
	case wire.RunHow_RUN_HOW_NOT_STARTED:
		d.retryTask(r, "notStarted", end.GetReason(), now)
	case wire.RunHow_RUN_HOW_STOPPED:
		d.retryTask(r, "stopped", end.GetReason(), now)
	default:
		d.retryTask(r, "lost", end.GetReason(), now)
	}
}

// taskDone marks the run's task as completed.
func (d *Dispatcher) taskDone(r *run, ran, now time.Duration) {
	w := r.workItem
	if ran <= 0 {
		ran = now - r.sentAt
	}
	d.learn(r, ran, now)
	before := r.link.conduct
	r.link.conduct = before.WithSuccess()
	d.logConduct(r.link, before)
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
func (d *Dispatcher) taskFailed(r *run, reason string, now time.Duration) {
	w, l := r.workItem, r.link
	before := l.conduct
	l.conduct = before.WithFailure(w.ID, d.peerFailureRate(l), now)
	d.logConduct(l, before)
	r.task.failed++
	if r.task.failed >= max(w.Kind.GetMaxAttempts(), 1) {
		d.finish(w, Outcome{State: Failed, Reason: reasonAttempts})
	}
	r.task.avoid = append(r.task.avoid, r.worker)
	d.retryTask(r, "failed", reason, now)
}

// retryTask settles a run and queues its task again, unless the task or its job
// has ended.
func (d *Dispatcher) retryTask(r *run, cause, reason string, now time.Duration) {
	w := r.workItem
	if r.halt.why != "" {
		cause = r.halt.why
	}
	d.settle(r)
	if w.answered {
		return
	}
	d.metrics.retry(cause)
	d.logRetry(r, cause, reason, now)
	if r.task.done {
		return
	}
	w.pending = append(w.pending, r.task)
	d.enqueue(w)
}

// settleOrphans retries the runs under earlier incarnations of an agent once
// its successor reports that none is left.
func (d *Dispatcher) settleOrphans(l *link, now time.Duration) {
	orphans := l.orphans
	l.orphans = nil
	for _, r := range orphans {
		if l.takeoverSender.has(r.workItem) {
			l.orphans = append(l.orphans, r)
			continue
		}
		r.setRan(true)
		d.retryTask(r, reasonRestarted, "", now)
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
