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
	// takeoverTimeout bounds one TakeRuns call.
	takeoverTimeout = 150 * time.Millisecond
	// takeoverPause is the wait between two calls to an agent.
	takeoverPause = 25 * time.Millisecond
	// takeoverGiveUpAfter is how long an agent that does not answer is asked.
	// After that, runs of former owners there have ended.
	takeoverGiveUpAfter = 10 * time.Second
	// maxTakeoverJobs bounds the jobs in one TakeRuns call.
	maxTakeoverJobs = 256
)

// takeoverSender asks one agent for the runs and ends of jobs that were taken
// over.
type takeoverSender struct {
	l *link
	// waiting holds the jobs for which the agent has yet to answer.
	waiting []*activeJob
	active  bool
	// waitingSince is when the first of the waiting jobs was added.
	waitingSince time.Duration
}

// awaits reports whether the agent has yet to answer for a job.
func (t *takeoverSender) awaits(job *activeJob) bool { return slices.Contains(t.waiting, job) }

// requestTakeover asks an agent for the runs and ends of a job. Until the agent
// has answered, no task of the job starts.
func (m *DurableManager) requestTakeover(l *link, job *activeJob) {
	if l.takeoverSender.awaits(job) || l.unlisted {
		return
	}
	job.durable.awaited[l] = true
	if len(l.takeoverSender.waiting) == 0 {
		l.takeoverSender.waitingSince = m.d.clock.Now()
	}
	l.takeoverSender.waiting = append(l.takeoverSender.waiting, job)
	if !l.takeoverSender.active && m.d.ctx.Err() == nil {
		l.takeoverSender.active = true
		m.d.calls.Go(l.takeoverSender.loop)
	}
}

// onAgentRestart asks a new incarnation of an agent, or an agent that is new
// here, for the ends that its predecessors have left.
func (m *DurableManager) onAgentRestart(l *link) {
	if m == nil {
		return
	}
	for _, job := range m.d.jobs {
		if job.durable.isOpen() && !job.answered && (job.durable.epoch > 1 || l.hasOrphanOf(job)) {
			m.requestTakeover(l, job)
		}
	}
}

// mayStillReport reports whether the end of a durable job's run may still be
// reported after the run must have ended. The task must not run again if that
// run completed it.
func (l *link) mayStillReport(r *run) bool { return r.activeJob.durable.isOpen() && !l.unlisted }

func (l *link) hasOrphanOf(job *activeJob) bool {
	return slices.ContainsFunc(l.orphans, func(r *run) bool { return r.activeJob == job })
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

// loop makes TakeRuns calls until no job is waiting.
func (t *takeoverSender) loop() {
	for {
		runner, jobs, q := t.next()
		if jobs == nil {
			return
		}
		if q.GetAgent() != nil {
			t.call(runner, jobs, q)
		}
		sleep(t.l.d.ctx, takeoverPause)
	}
}

// next returns the next request; its jobs are nil once there is none. The
// request has no agent as long as no incarnation of it is known.
func (t *takeoverSender) next() (wire.Runner, []*activeJob, *wire.TakeRunsRequest) {
	d := t.l.d
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	t.waiting = slices.DeleteFunc(t.waiting, func(job *activeJob) bool { return !job.durable.isOpen() || job.answered })
	if t.l.unlisted || now-t.waitingSince > takeoverGiveUpAfter && now-t.l.answeredAt > takeoverGiveUpAfter && now > t.l.runsEndedBy() {
		for _, job := range slices.Clone(t.waiting) {
			job.durable.givenUp++
			t.finishRequest(job)
		}
		d.place(now)
	}
	if len(t.waiting) == 0 || d.ctx.Err() != nil {
		t.active = false
		return nil, nil, nil
	}
	jobs := slices.Clone(t.waiting[:min(len(t.waiting), maxTakeoverJobs)])
	q := &wire.TakeRunsRequest{Entry: d.self, Agent: t.l.agent}
	for _, job := range jobs {
		q.Jobs = append(q.Jobs, &wire.TakenJob{Id: job.ID, Epoch: job.durable.epoch})
	}
	return t.l.runner, jobs, q
}

func (t *takeoverSender) call(runner wire.Runner, jobs []*activeJob, q *wire.TakeRunsRequest) {
	d := t.l.d
	ctx, cancel := context.WithTimeout(d.ctx, takeoverTimeout)
	defer cancel()
	reply, err := runner.TakeRuns(ctx, q)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil || len(reply.GetResults()) != len(jobs) {
		d.metrics.retry("takeRuns")
		return
	}
	if !wire.Same(q.GetAgent(), t.l.agent) {
		return
	}
	for i, job := range jobs {
		result := reply.GetResults()[i]
		if result.GetLeft() == 0 && result.GetLastEnd() <= t.l.endsSeen {
			t.finishRequest(job)
		}
	}
	d.place(d.clock.Now())
}

// finishRequest records that the agent has answered for a job, or was given up.
func (t *takeoverSender) finishRequest(job *activeJob) {
	t.waiting = slices.DeleteFunc(t.waiting, func(one *activeJob) bool { return one == job })
	delete(job.durable.awaited, t.l)
	if len(job.durable.awaited) > 0 {
		return
	}
	d := t.l.d
	d.logEvent(event.JobReady, slog.String("job", job.ID), slog.Int("tasksLeft", job.tasksLeft), slog.Int("unasked", job.durable.givenUp),
		millis("waitedMillis", d.clock.Now()-job.durable.claimedAt))
}
