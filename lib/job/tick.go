package job

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// directoryInterval is how often the directory is read.
const directoryInterval = 100 * time.Millisecond

// loop runs the periodic work until ctx ends.
func (d *Dispatcher) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	followedAt := time.Duration(-directoryInterval)
	for {
		if now := d.clock.Now(); now-followedAt >= directoryInterval {
			followedAt = now
			d.follow(d.agents())
		}
		d.tick()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// follow adds and removes links so that they match the directory.
func (d *Dispatcher) follow(members []*wire.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, member := range members {
		if member.GetRole() == wire.Role_ROLE_AGENT {
			listed[member.GetIncarnation().GetId()] = true
			d.connect(member)
		}
	}
	d.recordWorkers(d.clock.Now())
	for id, l := range d.links {
		l.unlisted = !listed[id]
		if l.unlisted && len(l.runs)+len(l.orphans) == 0 {
			l.cancel()
			delete(d.links, id)
			d.logEvent(event.AgentUnlisted, slog.String("agent", id))
		}
	}
}

// connect creates or updates the link to an agent.
func (d *Dispatcher) connect(member *wire.Member) {
	id := member.GetIncarnation().GetId()
	if l := d.links[id]; l != nil {
		l.dial(member)
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	l := &link{d: d, ctx: ctx, cancel: cancel, runs: map[runKey]*run{}, answeredAt: d.clock.Now() - silentAfter - 1, silenceLogged: true}
	l.haltSender.l = l
	l.takeoverSender.l = l
	l.dial(member)
	d.links[id] = l
	d.logEvent(event.AgentListed, slog.String("agent", id), slog.String("address", member.GetAddress()))
	d.calls.Go(l.loop)
}

// tick checks deadlines, silent agents and hanging runs, and places queued
// jobs.
func (d *Dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if gap := now - d.tickedAt; gap > gapLimit {
		d.resume(gap, now)
	}
	d.tickedAt = now
	for _, l := range d.links {
		d.tickLink(l, now)
	}
	for _, w := range d.jobs {
		d.tickJob(w, now)
	}
	d.place(now)
	d.prune(now)
	d.forget(now)
	d.metrics.queued.Update(float64(len(d.queue)))
	d.metrics.open.Update(float64(len(d.jobs)))
}

// resume continues after a suspension of the process.
func (d *Dispatcher) resume(gap, now time.Duration) {
	d.logEvent(event.ProcessPaused, millis("gapMillis", gap), slog.Int("inFlight", len(d.jobs)))
	d.notBefore = now + gapPause
	if gap < gapTooLong {
		return
	}
	for _, w := range d.jobs {
		if w.durable == nil {
			d.finish(w, d.stoppedOutcome(w, reasonGap))
		}
	}
}

// tickLink retries the runs of an agent that has been silent for so long that
// they have certainly ended, and halts runs that hang.
func (d *Dispatcher) tickLink(l *link, now time.Duration) {
	if l.isSilent(now) {
		l.logSilence(now)
	}
	if l.isSilent(now) && now > l.runsEndedBy() {
		d.loseRuns(l, now)
		return
	}
	for _, r := range l.runs {
		d.repeatHalt(r, now)
		if r.halt.why == "" && now-r.sentAt > r.hangAfter() && len(d.serving(r.workItem.Service)) > 1 {
			d.haltHanging(r, now)
		}
	}
}

// loseRuns treats all runs of a silent agent as ended.
func (d *Dispatcher) loseRuns(l *link, now time.Duration) {
	var runs []*run
	l.orphans = slices.DeleteFunc(l.orphans, func(r *run) bool {
		if l.mayStillReport(r) {
			return false
		}
		runs = append(runs, r)
		return true
	})
	for _, r := range l.runs {
		if !l.mayStillReport(r) {
			runs = append(runs, r)
		}
	}
	for _, r := range runs {
		r.setRan(true)
		d.retryTask(r, reasonSilent, "", now)
	}
}

// haltHanging stops a run that takes far longer than expected.
func (d *Dispatcher) haltHanging(r *run, now time.Duration) {
	l := r.link
	before := l.conduct
	l.conduct = before.WithFailure(r.workItem.ID, d.peerFailureRate(l), now)
	d.logConduct(l, before)
	r.task.hangs++
	r.task.avoid = append(r.task.avoid, r.worker)
	d.halt(r, reasonHangs, now)
}

// tickJob ends a job that has run out of time.
func (d *Dispatcher) tickJob(w *workItem, now time.Duration) {
	if w.answered {
		return
	}
	w.stretch(now)
	switch {
	case w.durable != nil:
	case now >= w.deadlineAt:
		d.finish(w, d.stoppedOutcome(w, reasonDeadline))
	case now >= w.lastAt():
		d.giveUp(w, reasonLate)
	}
}

// forget drops the attempt numbers of jobs that ended longer ago than
// attemptRetention.
func (d *Dispatcher) forget(now time.Duration) {
	for id, mark := range d.attempts {
		if now-mark.at > attemptRetention {
			delete(d.attempts, id)
		}
	}
}

// peerFailureRate returns the mean failure rate of the other workers of the
// service.
func (d *Dispatcher) peerFailureRate(l *link) float64 {
	sum, n := 0.0, 0
	for _, other := range d.serving(l.word.GetService()) {
		if other != l {
			sum += other.conduct.Rate
			n++
		}
	}
	return sum / float64(max(n, 1))
}
