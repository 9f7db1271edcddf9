package job

import (
	"context"
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// watchWait is how long a Watch waits at the agent for a change.
	watchWait = 80 * time.Millisecond
	// largeFleetWait is the same for an agent with runs of this entry in a large
	// fleet. Reports that only tell a changed capacity wait as long there: all
	// entries change it, and each would cost all of them a call.
	largeFleetWait = maxIdlePause
	// idlePausePerAgent is the pause between two Watches to an agent without runs
	// of this entry, for each agent. It bounds the Watches of an entry with many
	// agents, each of which replies whenever the free capacity changes.
	idlePausePerAgent = 2 * time.Millisecond
	// maxIdlePause bounds that pause, so that sessions are renewed well before
	// their end.
	maxIdlePause = 240 * time.Millisecond
	// watchSlack is added to the wait of a Watch to obtain the timeout of the call.
	watchSlack = 160 * time.Millisecond
	// lookInterval is the least mean time between two Watches to an agent that is not
	// watched, and lookIntervalPerAgent that time for each agent. They tell its service,
	// capacity and speed, and open no session.
	lookInterval         = 10 * time.Second
	lookIntervalPerAgent = 100 * time.Millisecond
	// failedLookInterval is the same for an agent that did not answer the last one,
	// or whose worker is about to return from an evacuation.
	failedLookInterval = time.Second
	// shortestBackoff and longestBackoff bound the wait after a failed call. Where
	// runs depend on the session, sessionBackoff takes the place of the latter.
	shortestBackoff = 20 * time.Millisecond
	longestBackoff  = 100 * time.Millisecond
	sessionBackoff  = 50 * time.Millisecond
)

// loop keeps one Watch call open to the agent until the link is closed, or
// makes one now and then while the agent is not watched.
func (l *link) loop() {
	if !l.d.isWatched(l) {
		l.sleepUntilWoken(rand.N(firstLookDelay))
	}
	for l.ctx.Err() == nil {
		answered := l.watch(l.ctx)
		switch wait, watched := l.d.pauseOf(l); {
		case watched && !answered && wait == 0:
			sleep(l.ctx, backoff(sessionBackoff))
		case watched && !answered:
			sleep(l.ctx, backoff(longestBackoff))
		default:
			l.sleepUntilWoken(wait)
		}
	}
}

// sleepUntilWoken waits before the next Watch. It ends early when the agent
// becomes watched, and when a run begins, whose end the next Watch may bring.
func (l *link) sleepUntilWoken(wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-l.ctx.Done():
	case <-l.woken:
	case <-timer.C:
	}
}

// wake ends the pause before the next Watch.
func (l *link) wake() {
	select {
	case l.woken <- struct{}{}:
	default:
	}
}

// pauseOf returns the pause before the next Watch to an agent, and whether the
// agent is watched. An absent agent is called as rarely as one that is not. It
// forgets the runs that have begun before.
func (d *Dispatcher) pauseOf(l *link) (pause time.Duration, watched bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(l.runs)+len(l.orphans) > 0 {
		if l.isAbsent() {
			return l.lookPause(), false
		}
		return 0, true
	}
	select {
	case <-l.woken:
	default:
	}
	switch {
	case !l.watched:
		l.dropConnections()
		return l.lookPause(), false
	case l.looked:
		return 0, true
	}
	return d.idlePause(), true
}

// lookPause returns a random pause before the next look at an agent.
func (l *link) lookPause() time.Duration {
	mean := max(lookInterval, time.Duration(len(l.d.links))*lookIntervalPerAgent)
	if l.failing || l.isReturning() {
		mean = failedLookInterval
	}
	return mean/2 + rand.N(mean)
}

// idlePause returns the pause between two Watches to an agent without runs. It is
// longer while the entry is short of processor time.
func (d *Dispatcher) idlePause() time.Duration {
	return min(time.Duration(len(d.links))*idlePausePerAgent+placement.StateDelay(d.lag, watchWait), maxIdlePause)
}

// watch makes one Watch call and processes its reply. It reports whether the
// listed agent answered.
func (l *link) watch(ctx context.Context) bool {
	runner, q := l.d.nextWatch(l)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.GetWaitMillis())*time.Millisecond+watchSlack)
	defer cancel()
	reply, err := runner.Watch(ctx, q)
	if err != nil {
		l.d.watchFailed(l, err)
		return false
	}
	return l.d.handleWatchReply(l, reply)
}

// nextWatch returns the next Watch request to the agent.
func (d *Dispatcher) nextWatch(l *link) (wire.Runner, *wire.WatchRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	q := &wire.WatchRequest{
		Entry:            d.self,
		Agent:            l.agent,
		EndsSeen:         l.endsStored(),
		EndsTold:         l.endsSeen,
		VersionSeen:      l.reported.GetVersion(),
		WaitMillis:       watchWait.Milliseconds(),
		RenewUntilMillis: l.renewUntil(now),
		StateAfterMillis: placement.StateDelay(d.lag, watchWait).Milliseconds(),
	}
	switch {
	case len(l.runs)+len(l.orphans) == 0:
		q.WaitMillis = max(watchWait-d.idlePause(), 0).Milliseconds()
	case d.watchesPart():
		q.WaitMillis, q.StateAfterMillis = largeFleetWait.Milliseconds(), largeFleetWait.Milliseconds()
	}
	if l.failing || l.isSilent(now) {
		q.WaitMillis = 0
	}
	l.looked = !l.watched
	switch {
	case l.looked:
		q.Agent, q.WaitMillis, q.RenewUntilMillis = nil, 0, 0
	case l.agent == nil:
		q.Agent = &wire.Incarnation{Id: l.member.GetIncarnation().GetId()}
	}
	if q.RenewUntilMillis != 0 {
		l.sessionEnd = max(l.sessionEnd, now+d.cfg.Session)
	}
	return l.runner, q
}

func (d *Dispatcher) watchFailed(l *link, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.dropConnections()
	l.failing = true
	d.metrics.retry("watch")
	d.log.Debug("watch call to the agent failed", "agent", l.member.GetIncarnation().GetId(),
		"lastAnswerAgeMillis", (d.clock.Now() - l.answeredAt).Milliseconds(), "error", err)
}

// handleWatchReply processes the reply to a Watch, and reports whether it came
// from the listed agent.
func (d *Dispatcher) handleWatchReply(l *link, reply *wire.WatchReply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.checkIncarnation(l, reply.GetAgent()) {
		return false
	}
	l.logRegained(now)
	l.answeredAt = now
	l.failing = false
	l.clockMillis = reply.GetClockMillis()
	l.clockAt = now
	l.sessionMillis = reply.GetSessionUntilMillis()
	left := time.Duration(l.sessionMillis-l.clockMillis) * time.Millisecond
	l.sessionEnd = max(l.sessionEnd, now+left)
	l.updateState(reply.GetWorker(), now)
	for _, end := range reply.GetEnds() {
		if end.GetNumber() > l.endsSeen {
			l.endsSeen = end.GetNumber()
			d.runEnded(l, end, now)
		}
	}
	if l.reported.GetCleared() {
		d.retryOrphans(l, now)
	}
	d.place(now)
	return true
}

// checkIncarnation compares the incarnation that answered with the known one,
// and reports whether it is one of the listed agent. If it is new, the runs
// under the old one become orphans. The numbers of incarnations have no order;
// as one call is made at a time, the last answer comes from the newest
// incarnation.
func (d *Dispatcher) checkIncarnation(l *link, agent *wire.Incarnation) bool {
	if agent.GetId() != l.member.GetIncarnation().GetId() {
		return false
	}
	if wire.Same(agent, l.agent) {
		return true
	}
	if l.agent != nil {
		d.logRestarted(agent, l)
	}
	for key, r := range l.runs {
		l.orphans = append(l.orphans, r)
		delete(l.runs, key)
	}
	l.haltSender.removeAll()
	l.agent = agent
	l.reported = nil
	l.endsSeen = 0
	l.unstored = nil
	d.durableJobs.onAgentRestart(l)
	return true
}

// backoff returns a random wait after a failed call.
func backoff(longest time.Duration) time.Duration {
	return shortestBackoff + rand.N(longest-shortestBackoff)
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
