package job

import (
	"context"
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// watchWait is how long a Watch waits for news at the agent.
	watchWait = 80 * time.Millisecond
	// watchTimeout bounds a Watch as a whole.
	watchTimeout = watchWait + 120*time.Millisecond
	// shortestBackoff and longestBackoff bound the wait after a failed call.
	shortestBackoff = 20 * time.Millisecond
	longestBackoff  = 100 * time.Millisecond
)

// loop keeps one Watch open to the agent until the link ends.
func (l *link) loop() {
	for l.ctx.Err() == nil {
		if !l.watch(l.ctx) {
			sleep(l.ctx, backoff())
		}
	}
}

// watch makes one call and takes in its reply.
func (l *link) watch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	runner, q := l.d.nextWatch(l)
	reply, err := runner.Watch(ctx, q)
	if err != nil {
		l.d.watchFailed(l, err)
		return false
	}
	return l.d.watched(l, reply)
}

// nextWatch returns the next question to the agent.
func (d *Desk) nextWatch(l *link) (wire.Runner, *wire.WatchRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	q := &wire.WatchRequest{
		Entry:            d.self,
		Agent:            l.agent,
		EndsSeen:         l.endsSeen,
		VersionSeen:      l.word.GetVersion(),
		WaitMillis:       watchWait.Milliseconds(),
		RenewUntilMillis: l.renewUntil(now),
	}
	if l.failing || l.silent(now) {
		q.WaitMillis = 0
	}
	if q.RenewUntilMillis != 0 {
		l.sessionEnd = max(l.sessionEnd, now+d.cfg.Session)
	}
	return l.runner, q
}

func (d *Desk) watchFailed(l *link, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.dropConnections()
	l.failing = true
	d.metrics.retry("watch")
	d.log.Debug("A watch has failed.", "agent", l.member.GetIncarnation().GetId(),
		"lastAnswerAgeMillis", (d.clock.Now() - l.answeredAt).Milliseconds(), "error", err)
}

// watched takes in the answer to a Watch, and tells whether it was of use.
func (d *Desk) watched(l *link, reply *wire.WatchReply) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	if !d.recognise(l, reply.GetAgent()) {
		return false
	}
	l.noteRegained(now)
	l.answeredAt = now
	l.failing = false
	l.clockMillis = reply.GetClockMillis()
	l.clockAt = now
	l.sessionMillis = reply.GetSessionUntilMillis()
	left := time.Duration(l.sessionMillis-l.clockMillis) * time.Millisecond
	l.sessionEnd = max(l.sessionEnd, now+left)
	l.takeWord(reply.GetWorker(), now)
	for _, end := range reply.GetEnds() {
		if end.GetNumber() > l.endsSeen {
			l.endsSeen = end.GetNumber()
			d.ended(l, end, now)
		}
	}
	if l.word.GetCleared() {
		d.clear(l, now)
	}
	d.place(now)
	return true
}

// recognise compares the incarnation that answered with the one known. Another
// one makes the runs under the old one orphans. Numbers of incarnations have no
// order; as one call is made at a time, the last answer is of the newest.
func (d *Desk) recognise(l *link, agent *wire.Incarnation) bool {
	if agent.GetId() != l.member.GetIncarnation().GetId() {
		return false
	}
	if wire.Same(agent, l.agent) {
		return true
	}
	if l.agent != nil {
		d.noteRestarted(agent, l)
	}
	for key, r := range l.runs {
		l.orphans = append(l.orphans, r)
		delete(l.runs, key)
	}
	l.halter.forget()
	l.agent = agent
	l.word = nil
	l.endsSeen = 0
	return true
}

func backoff() time.Duration {
	return shortestBackoff + rand.N(longestBackoff-shortestBackoff)
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
