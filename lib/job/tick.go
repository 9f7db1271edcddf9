package job

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// followInterval is the time between two looks at the directory.
const followInterval = 100 * time.Millisecond

// loop looks after everything that comes with time.
func (d *Desk) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	followedAt := time.Duration(-followInterval)
	for {
		if now := d.clock.Now(); now-followedAt >= followInterval {
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

// follow makes the links those of the directory.
func (d *Desk) follow(members []*wire.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := map[string]bool{}
	for _, member := range members {
		if member.GetRole() == wire.Role_ROLE_AGENT {
			listed[member.GetIncarnation().GetId()] = true
			d.connect(member)
		}
	}
	d.noteSeen(d.clock.Now())
	for id, l := range d.links {
		l.gone = !listed[id]
		if l.gone && len(l.runs)+len(l.orphans) == 0 {
			l.cancel()
			delete(d.links, id)
			d.note(event.AgentUnlisted, slog.String("agent", id))
		}
	}
}

// connect makes or renews the link to an agent.
func (d *Desk) connect(member *wire.Member) {
	id := member.GetIncarnation().GetId()
	if l := d.links[id]; l != nil {
		l.dial(member)
		return
	}
	ctx, cancel := context.WithCancel(d.ctx)
	l := &link{d: d, ctx: ctx, cancel: cancel, runs: map[runKey]*run{}, answeredAt: d.clock.Now() - silentAfter - 1, lost: true}
	l.halter.l = l
	l.taker.l = l
	l.dial(member)
	d.links[id] = l
	d.note(event.AgentListed, slog.String("agent", id), slog.String("address", member.GetAddress()))
	d.calls.Go(l.loop)
}

// tick looks at deadlines, silent agents and runs that hang.
func (d *Desk) tick() {
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

// resume goes on after the process was stopped for a while.
func (d *Desk) resume(gap, now time.Duration) {
	d.note(event.ProcessPaused, millis("gapMillis", gap), slog.Int("inFlight", len(d.jobs)))
	d.notBefore = now + gapPause
	if gap < gapTooLong {
		return
	}
	for _, w := range d.jobs {
		if w.kept == nil {
			d.finish(w, d.stopped(w, reasonGap))
		}
	}
}

// tickLink settles the runs of an agent that has been silent for so long that
// they have surely ended, and halts those that hang.
func (d *Desk) tickLink(l *link, now time.Duration) {
	if l.silent(now) {
		l.noteLost(now)
	}
	if l.silent(now) && now > l.surelyEnded() {
		d.loseRuns(l, now)
		return
	}
	for _, r := range l.runs {
		d.haltAgain(r, now)
		if r.halt.why == "" && now-r.sentAt > r.hangAfter() && len(d.serving(r.work.Service)) > 1 {
			d.haltHanging(r, now)
		}
	}
}

// loseRuns takes all runs of a silent agent as ended.
func (d *Desk) loseRuns(l *link, now time.Duration) {
	var runs []*run
	l.orphans = slices.DeleteFunc(l.orphans, func(r *run) bool {
		if l.mayTellOf(r) {
			return false
		}
		runs = append(runs, r)
		return true
	})
	for _, r := range l.runs {
		if !l.mayTellOf(r) {
			runs = append(runs, r)
		}
	}
	for _, r := range runs {
		r.ranAtAll(true)
		d.again(r, reasonSilent, "", now)
	}
}

// haltHanging has a run stopped that takes far longer than expected.
func (d *Desk) haltHanging(r *run, now time.Duration) {
	l := r.link
	before := l.conduct
	l.conduct = before.WithFailure(r.work.ID, d.usualRate(l), now)
	d.noteConduct(l, before)
	r.task.hangs++
	r.task.avoid = append(r.task.avoid, r.worker)
	d.halt(r, reasonHangs, now)
}

// tickJob ends a job that is out of time.
func (d *Desk) tickJob(w *work, now time.Duration) {
	if w.answered {
		return
	}
	w.stretch(now)
	switch {
	case w.kept != nil:
	case now >= w.deadlineAt:
		d.finish(w, d.stopped(w, reasonDeadline))
	case now >= w.lastAt():
		d.giveUp(w, reasonLate)
	}
}

// forget drops marks of jobs that ended long ago.
func (d *Desk) forget(now time.Duration) {
	for id, mark := range d.attempts {
		if now-mark.at > attemptsKept {
			delete(d.attempts, id)
		}
	}
}

// usualRate is the mean failure rate of the other workers of a service.
func (d *Desk) usualRate(l *link) float64 {
	sum, n := 0.0, 0
	for _, other := range d.serving(l.word.GetService()) {
		if other != l {
			sum += other.conduct.Rate
			n++
		}
	}
	return sum / float64(max(n, 1))
}
