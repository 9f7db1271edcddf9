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
	// takePatience is how long an agent is asked that does not answer. Runs of
	// former owners there are over by then.
	takePatience = 10 * time.Second
	// maxTaken bounds the jobs in one call.
	maxTaken = 256
)

// taker asks one agent for the runs and ends of jobs.
type taker struct {
	l       *link
	waiting []*work
	active  bool
	// since is when the first of them was added.
	since time.Duration
}

// has tells whether the agent has not answered for a job.
func (t *taker) has(w *work) bool { return slices.Contains(t.waiting, w) }

// ask has an agent asked for a job before any task of it starts.
func (k *Keeper) ask(l *link, w *work) {
	if l.taker.has(w) || l.gone {
		return
	}
	w.kept.asking[l] = true
	if len(l.taker.waiting) == 0 {
		l.taker.since = k.d.clock.Now()
	}
	l.taker.waiting = append(l.taker.waiting, w)
	if !l.taker.active && k.d.ctx.Err() == nil {
		l.taker.active = true
		k.d.calls.Go(l.taker.loop)
	}
}

// agentRestarted asks another incarnation of an agent, or one that is new here,
// for the ends that its predecessors have left.
func (k *Keeper) agentRestarted(l *link) {
	if k == nil {
		return
	}
	for _, w := range k.d.jobs {
		if w.kept.isOpen() && !w.answered && (w.kept.epoch > 1 || l.hasOrphanOf(w)) {
			k.ask(l, w)
		}
	}
}

// mayTellOf tells whether the end of a kept run may still be told though the run
// is over: a task whose run was done must not run again.
func (l *link) mayTellOf(r *run) bool { return r.work.kept.isOpen() && !l.gone }

func (l *link) hasOrphanOf(w *work) bool {
	return slices.ContainsFunc(l.orphans, func(r *run) bool { return r.work == w })
}

// orphanOf takes the run of a task out of those under earlier incarnations of
// the agent.
func (l *link) orphanOf(task string) *run {
	i := slices.IndexFunc(l.orphans, func(r *run) bool { return r.task.name == task })
	if i < 0 {
		return nil
	}
	r := l.orphans[i]
	l.orphans = slices.Delete(l.orphans, i, i+1)
	return r
}

// loop asks until nothing is left to ask.
func (t *taker) loop() {
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

// next returns the next question; works is nil once there is none. Without an
// agent there is nobody to ask yet.
func (t *taker) next() (wire.Runner, []*work, *wire.TakeRunsRequest) {
	d := t.l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	t.waiting = slices.DeleteFunc(t.waiting, func(w *work) bool { return !w.kept.isOpen() || w.answered })
	if t.l.gone || now-t.since > takePatience && now-t.l.answeredAt > takePatience && now > t.l.surelyEnded() {
		for _, w := range slices.Clone(t.waiting) {
			w.kept.unasked++
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
		q.Jobs = append(q.Jobs, &wire.TakenJob{Id: w.ID, Epoch: w.kept.epoch})
	}
	return t.l.runner, works, q
}

func (t *taker) call(runner wire.Runner, works []*work, q *wire.TakeRunsRequest) {
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

// settle takes an agent as asked for a job.
func (t *taker) settle(w *work) {
	t.waiting = slices.DeleteFunc(t.waiting, func(one *work) bool { return one == w })
	delete(w.kept.asking, t.l)
	if len(w.kept.asking) > 0 {
		return
	}
	d := t.l.d
	d.note(event.JobReady, slog.String("job", w.ID), slog.Int("tasksLeft", w.tasksLeft), slog.Int("unasked", w.kept.unasked),
		millis("waitedMillis", d.clock.Now()-w.kept.claimedAt))
}
