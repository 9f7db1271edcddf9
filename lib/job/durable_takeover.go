package job

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	takeTimeout = 150 * time.Millisecond
	// takePause is the wait before an agent is asked again.
	takePause = 25 * time.Millisecond
	// takeoverGiveUpAfter is how long an agent that does not answer is asked. After
	// that, runs of former owners there have ended.
	takeoverGiveUpAfter = 10 * time.Second
	// maxTaken bounds the jobs in one call.
	maxTaken = 256
)

// takeoverSender asks one agent for the runs and ends of jobs that were taken
// over.
type takeoverSender struct {
	l       *link
	waiting []*workItem
	active  bool
	// since is when the first of the waiting jobs was added.
	since time.Duration
}

// has reports whether the agent has not answered for a job yet.
func (t *takeoverSender) has(w *workItem) bool { return slices.Contains(t.waiting, w) }

// requestTakeover asks an agent for a job before any task of the job starts.
func (k *DurableManager) requestTakeover(l *link, w *workItem) {
	if l.takeoverSender.has(w) || l.unlisted {
		return
	}
	w.durable.asking[l] = true
	if len(l.takeoverSender.waiting) == 0 {
		l.takeoverSender.since = k.d.clock.Now()
	}
	l.takeoverSender.waiting = append(l.takeoverSender.waiting, w)
	if !l.takeoverSender.active && k.d.ctx.Err() == nil {
		l.takeoverSender.active = true
		k.d.calls.Go(l.takeoverSender.loop)
	}
}

// onAgentRestart asks a new incarnation of an agent, or an agent that is new
// here, for the ends that its predecessors have left.
func (k *DurableManager) onAgentRestart(l *link) {
	if k == nil {
		return
	}
	for _, w := range k.d.jobs {
		if w.durable.isOpen() && !w.answered && (w.durable.epoch > 1 || l.hasOrphanOf(w)) {
			k.requestTakeover(l, w)
		}
	}
}

// mayStillReport reports whether the end of a durable job's run may still be
// reported after the run must have ended. The task must not run again if that
// run completed it.
func (l *link) mayStillReport(r *run) bool { return r.workItem.durable.isOpen() && !l.unlisted }

func (l *link) hasOrphanOf(w *workItem) bool {
	return slices.ContainsFunc(l.orphans, func(r *run) bool { return r.workItem == w })
}

// removeOrphan removes and returns the task's run from those under earlier
// incarnations of the agent.
func (l *link) removeOrphan(task string) *run {
	i := slices.IndexFunc(l.orphans, func(r *run) bool { return r.task.name == task })
	if i < 0 {
		return nil
	}
	r := l.orphans[i]
	l.orphans = slices.Delete(l.orphans, i, i+1)
	return r
}

// loop sends requests until none is left.
func (t *takeoverSender) loop() {
	for {
		runner, works, q := t.next()
		if works == nil {
			return
		}
		if q.GetAgent() != nil {
			t.call(runner, works, q)
		}
		sleep(t.l.d.ctx, takePause)
	}
}

// next returns the next request; its jobs are nil once there is none. The
// request has no agent as long as no incarnation of it is known.
func (t *takeoverSender) next() (wire.Runner, []*workItem, *wire.TakeRunsRequest) {
	d := t.l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	t.waiting = slices.DeleteFunc(t.waiting, func(w *workItem) bool { return !w.durable.isOpen() || w.answered })
	if t.l.unlisted || now-t.since > takeoverGiveUpAfter && now-t.l.answeredAt > takeoverGiveUpAfter && now > t.l.runsEndedBy() {
		for _, w := range slices.Clone(t.waiting) {
			w.durable.unasked++
			t.settle(w)
		}
		d.place(now)
	}
	if len(t.waiting) == 0 || d.ctx.Err() != nil {
		t.active = false
		return nil, nil, nil
	}
	works := slices.Clone(t.waiting[:min(len(t.waiting), maxTaken)])
	q := &wire.TakeRunsRequest{Entry: d.self, Agent: t.l.agent}
	for _, w := range works {
		q.Jobs = append(q.Jobs, &wire.TakenJob{Id: w.ID, Epoch: w.durable.epoch})
	}
	return t.l.runner, works, q
}

func (t *takeoverSender) call(runner wire.Runner, works []*workItem, q *wire.TakeRunsRequest) {
	d := t.l.d
	ctx, cancel := context.WithTimeout(d.ctx, takeTimeout)
	defer cancel()
	reply, err := runner.TakeRuns(ctx, q)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil || len(reply.GetResults()) != len(works) {
		d.metrics.retry("takeRuns")
		return
	}
	if !wire.Same(q.GetAgent(), t.l.agent) {
		return
	}
	for i, w := range works {
		result := reply.GetResults()[i]
		if result.GetLeft() == 0 && result.GetLastEnd() <= t.l.endsSeen {
			t.settle(w)
		}
	}
	d.place(d.clock.Now())
}

// settle marks the agent as asked for a job.
func (t *takeoverSender) settle(w *workItem) {
	t.waiting = slices.DeleteFunc(t.waiting, func(one *workItem) bool { return one == w })
	delete(w.durable.asking, t.l)
	if len(w.durable.asking) > 0 {
		return
	}
	d := t.l.d
	d.logEvent(event.JobReady, slog.String("job", w.ID), slog.Int("tasksLeft", w.tasksLeft), slog.Int("unasked", w.durable.unasked),
		millis("waitedMillis", d.clock.Now()-w.durable.claimedAt))
}
