package job

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// directoryInterval is how often the directory is read.
	directoryInterval = 100 * time.Millisecond
	// recordInterval is how often the workers are recorded while no job arrives.
	recordInterval = time.Second
	// maxAgentSilence is how long the runs of a best-effort job wait for a silent
	// agent before the job is given up.
	maxAgentSilence = 30 * time.Second
	// lostRunRetention is how long the runs of an answered job at a silent agent
	// are remembered. Until then the job does not start again at this entry.
	lostRunRetention = 10 * time.Minute
)

// loop runs the periodic work until ctx ends.
func (d *Dispatcher) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	linksUpdatedAt := time.Duration(-directoryInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.idleEnded:
			timer.Reset(clock.UntilNext(tickInterval))
			continue
		case <-timer.C:
		}
		if now := d.clock.Now(); now-linksUpdatedAt > directoryInterval-tickInterval {
			linksUpdatedAt = now
			d.updateLinks(d.agents())
		}
		timer.Reset(d.tick())
	}
}

// updateLinks adds and removes links so that they match the directory.
func (d *Dispatcher) updateLinks(members []*wire.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if d.cfg.Entries != nil {
		d.entries = d.cfg.Entries()
	}
	if d.unlisted > 0 || !slices.Equal(members, d.readMembers) {
		d.listLinks(members)
	}
	if now-d.recordedAt >= recordInterval {
		d.recordWorkers(now)
	}
	d.updateEvacuation()
	d.updateWatched(now)
	for _, l := range d.unstarted {
		d.calls.Go(l.loop)
	}
	d.unstarted = nil
}

// listLinks updates the links to the agents that the directory lists, and removes those
// to others without runs.
func (d *Dispatcher) listLinks(members []*wire.Member) {
	listed := map[string]bool{}
	for _, member := range members {
		if member.GetRole() == wire.Role_ROLE_AGENT {
			listed[member.GetIncarnation().GetId()] = true
			d.updateLink(member)
		}
	}
	d.unlisted = 0
	for id, l := range d.links {
		d.workersChanged = d.workersChanged || l.unlisted && listed[id]
		l.unlisted = !listed[id]
		switch {
		case !l.unlisted:
		case len(l.runs)+len(l.orphans) > 0:
			d.unlisted++
		default:
			l.cancel()
			delete(d.links, id)
			d.logEvent(event.AgentUnlisted, slog.String("agent", id))
		}
	}
	d.readMembers = members
	d.ranked = rankLinks(d.links)
}

// updateLink creates or updates the link to an agent.
func (d *Dispatcher) updateLink(member *wire.Member) {
	id := member.GetIncarnation().GetId()
	if l := d.links[id]; l != nil {
		l.setMember(member)
		if l.unlisted {
			l.wake()
		}
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	l := &link{d: d, ctx: ctx, cancel: cancel, runs: map[runKey]*run{}, woken: make(chan struct{}, 1), answeredAt: d.clock.Now() - silentAfter - 1, silenceLogged: true}
	l.haltSender.l = l
	l.takeoverSender.l = l
	l.setMember(member)
	l.rank = rankOf(d.self.GetId(), id)
	d.links[id] = l
	d.unstarted = append(d.unstarted, l)
	d.logEvent(event.AgentListed, slog.String("agent", id), slog.String("address", member.GetAddress()))
}

// tick checks for suspensions, deadlines, silent agents and hanging runs, and
// places or gives up queued jobs. It returns the time until the next tick.
func (d *Dispatcher) tick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if gap := now - d.lastTickAt; gap > suspensionThreshold {
		d.resume(gap, now)
	}
	d.recordLag(now - d.lastTickAt - d.tickWait + tickInterval)
	d.lastTickAt = now
	for _, l := range d.links {
		d.tickLink(l, now)
	}
	for _, job := range d.jobs {
		d.tickJob(job, now)
	}
	d.place(now)
	d.prune(now)
	d.evictEndedJobs(now)
	d.metrics.queued.Update(float64(len(d.queue)))
	d.metrics.open.Update(float64(len(d.jobs)))
	return d.scheduleTick()
}

// scheduleTick returns the time until the next tick.
func (d *Dispatcher) scheduleTick() time.Duration {
	d.idle, d.tickWait = len(d.jobs) == 0, tickInterval
	if d.idle {
		d.tickWait = idleTickInterval
	}
	return clock.UntilNext(d.tickWait)
}

// endIdle has ticks come at short intervals, for a job that has come.
func (d *Dispatcher) endIdle() {
	if !d.idle {
		return
	}
	d.idle = false
	select {
	case d.idleEnded <- struct{}{}:
	default:
	}
}

// lagDivisor is the inverse of the weight of the newest tick in the mean lag.
const lagDivisor = 8

// recordLag adds the lag of a tick to the mean. Gaps that count as suspensions are
// left out, as they say nothing of the load.
func (d *Dispatcher) recordLag(gap time.Duration) {
	if gap <= suspensionThreshold {
		d.lag += (max(gap-tickInterval, 0) - d.lag) / lagDivisor
	}
	d.metrics.lag.Update(float64(d.lag.Microseconds()) / 1000)
}

// isLagging reports whether the process has too little processor time.
func (d *Dispatcher) isLagging() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lag > tickInterval
}

// resume defers starts after a suspension of the process. After a long one, it
// gives up the open best-effort jobs.
func (d *Dispatcher) resume(gap, now time.Duration) {
	d.logEvent(event.ProcessPaused, millis("gapMillis", gap), slog.Int("inFlight", len(d.jobs)))
	d.noStartsBefore = now + resumePause
	if gap < maxSuspension {
		return
	}
	for _, job := range d.jobs {
		if job.durable == nil {
			d.finish(job, d.stoppedOutcome(job, reasonProcessSuspended))
		}
	}
}

// tickLink halts runs that hang, if the service has another worker, and repeats
// halts. If the agent has been silent beyond the end of its session, its runs
// wait for its answer instead.
func (d *Dispatcher) tickLink(l *link, now time.Duration) {
	if l.watched && l.isSilent(now) && now-l.watchedAt > silentAfter {
		l.logSilence(now)
	}
	if len(l.runs)+len(l.orphans) == 0 {
		return
	}
	if l.isAwaited(now) {
		d.awaitAgent(l, now)
		return
	}
	for _, r := range l.runs {
		d.repeatHalt(r, now)
		d.noteWaitOver(r, now)
		if r.halt.why == "" && now-r.begunBy() > r.hangAfter() && d.hasAlternative(r.activeJob.Service, l) {
			d.haltHanging(r, now)
		}
	}
}

// awaitAgent processes the runs of an agent that is silent beyond the end of its
// session. Silence does not end a run of a best-effort job: if the machine is
// suspended, the worker's clock stands still, and the run goes on with what is left of
// its lease when the machine resumes. Its task starts again once the agent, or
// its next incarnation, has reported the end of the run.
func (d *Dispatcher) awaitAgent(l *link, now time.Duration) {
	for _, r := range slices.Concat(l.orphans, slices.Collect(maps.Values(l.runs))) {
		job := r.activeJob
		switch {
		case job.durable != nil && l.mayStillReport(r):
		case job.durable != nil, job.answered && now-l.answeredAt > lostRunRetention:
			l.orphans = slices.DeleteFunc(l.orphans, func(one *run) bool { return one == r })
			r.setStarted(true)
			d.retryTask(r, reasonAgentSilent, "", now)
		case !job.answered && now-l.answeredAt > maxAgentSilence:
			d.finish(job, d.stoppedOutcome(job, reasonAgentSilent))
		case !job.answered:
			d.logAwaited(r, now)
		}
	}
}

// haltHanging stops a run that takes far longer than expected, and counts it as
// a failure of the worker.
func (d *Dispatcher) haltHanging(r *run, now time.Duration) {
	l := r.link
	before := l.health
	l.health = before.WithFailure(r.activeJob.ID, d.peerFailureRate(l), now)
	d.logHealthChange(l, before)
	r.task.hangs++
	r.task.avoid = append(r.task.avoid, r.worker)
	d.halt(r, reasonHanging, now)
}

// tickJob ends a best-effort job that has run out of time.
func (d *Dispatcher) tickJob(job *activeJob, now time.Duration) {
	if job.answered {
		return
	}
	job.extendObjective(now)
	switch {
	case job.durable != nil:
	case now >= job.answerBy():
		d.finish(job, d.stoppedOutcome(job, reasonDeadline))
	case now >= job.usefulUntil():
		d.giveUp(job, reasonTooLate)
	case job.isLeft(now):
		d.finish(job, d.stoppedOutcome(job, reasonCallerDisconnected))
	}
}

// evictEndedJobs drops the jobs that ended longer ago than endedJobRetention.
func (d *Dispatcher) evictEndedJobs(now time.Duration) {
	for id, ended := range d.endedJobs {
		if now-ended.endedAt > endedJobRetention {
			delete(d.endedJobs, id)
		}
	}
}

// peerFailureRate returns the mean failure rate of the other workers of the
// service.
func (d *Dispatcher) peerFailureRate(l *link) float64 {
	sum, n := 0.0, 0
	for _, other := range d.linksOf(l.reported.GetService()) {
		if other != l {
			sum += other.health.Rate
			n++
		}
	}
	return sum / float64(max(n, 1))
}
