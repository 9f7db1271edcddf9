package job

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// silentAfter is the time without an answer from which an agent counts as
	// silent.
	silentAfter = 400 * time.Millisecond
	// answerSlack is how much later than expected an agent's next answer may
	// come before the agent gets no more launches.
	answerSlack = 70 * time.Millisecond
	// sessionMargin is how long before the end of its session an agent gets no
	// more launches.
	sessionMargin = 100 * time.Millisecond
	// renewHaltTimeout is how long a halt may be unacknowledged before the
	// session is no longer renewed. The run then stops with the session even if
	// no halt reaches the agent.
	renewHaltTimeout = 50 * time.Millisecond
	// launchHaltTimeout is how long a halt may be unacknowledged before the
	// agent gets no more launches.
	launchHaltTimeout = 250 * time.Millisecond
)

// runKey identifies a run at an agent.
type runKey struct {
	task    string
	attempt uint32
}

// link is the connection to one agent and the state of its worker.
type link struct {
	d      *Dispatcher
	member *wire.Member
	client *http.Client
	runner wire.Runner
	ctx    context.Context
	cancel context.CancelFunc
	// unlisted is set while the directory doesn't list the agent.
	unlisted bool
	// evacuated is set while the agent's data centre is evacuated: its runs go on,
	// and no others start there.
	evacuated bool

	// agent is the incarnation that answered last; reported is the state of its
	// worker that it reported last, at reportedAt.
	agent    *wire.Incarnation
	reported *wire.WorkerState
	// free and capacity are those of reported.
	free     capacity.Vector
	capacity capacity.Vector
	// reserved is the capacity that unanswered launches may use.
	reserved   capacity.Vector
	reportedAt time.Duration
	answeredAt time.Duration
	// failing is set while the last Watch was not answered.
	failing bool
	// silenceLogged is set while the agent's silence is logged, and before
	// its first answer.
	silenceLogged bool
	// clockMillis is a reading of the agent's clock, taken at clockAt or
	// before.
	clockMillis int64
	clockAt     time.Duration
	// sessionMillis is the end of the session on the agent's clock.
	sessionMillis int64
	// sessionEnd is the time, on the dispatcher's clock, by which the session
	// has certainly ended unless it is renewed.
	sessionEnd time.Duration
	// endsSeen is the number of the newest run end that was processed.
	endsSeen uint64
	// unstored holds, in order of number, the ends of durable jobs' runs that
	// were processed but are not stored.
	unstored []*unstoredEnd
	// contestedUntil is until when other entries are assumed to compete for
	// the agent's capacity.
	contestedUntil time.Duration
	// pausedUntil is when launches may be sent again after a failed one.
	pausedUntil time.Duration
	// waitsPausedUntil is when runs may wait at the agent again after its queue
	// refused one.
	waitsPausedUntil time.Duration

	runs map[runKey]*run
	// woken ends the pause of the loop of Watches.
	woken chan struct{}
	// watched is set while the entry has a session at the agent, and may launch
	// there; it was set last at watchedAt.
	watched   bool
	watchedAt time.Duration
	// looked is set if the last Watch opened no session.
	looked bool
	// neededUntil is until when the agent is watched because those watched before
	// had no room.
	neededUntil time.Duration
	// rank orders the agents by the preference of this entry to watch them.
	rank uint64
	// orphans are runs under earlier incarnations of the agent.
	orphans        []*run
	haltSender     haltSender
	takeoverSender takeoverSender

	speed  speed
	health placement.WorkerHealth
}

// hasState reports whether the agent has reported on its worker.
func (l *link) hasState() bool { return l.agent != nil && l.reported != nil }

// isSilent reports whether the agent has not answered for longer than
// silentAfter.
func (l *link) isSilent(now time.Duration) bool { return now-l.answeredAt > silentAfter }

// isAbsent reports whether the agent neither answers nor is listed.
func (l *link) isAbsent() bool { return l.failing && l.unlisted }

// isStale reports whether the agent's next answer is overdue.
func (l *link) isStale(now time.Duration) bool {
	wait := max(watchWait, l.d.idlePause())
	if l.d.watchesPart() {
		wait = largeFleetWait
	}
	return now-l.answeredAt > wait+answerSlack
}

// agentMillis returns a lower bound of the agent's clock at now.
func (l *link) agentMillis(now time.Duration) int64 {
	return l.clockMillis + (now - l.clockAt).Milliseconds()
}

// mayLaunch reports whether a launch that is sent now is likely to be
// accepted.
func (l *link) mayLaunch(now time.Duration) bool {
	return l.hasState() && !l.unlisted && !l.evacuated && !l.member.GetLeaving() &&
		l.reported.GetAccepting() &&
		!l.isStale(now) &&
		l.agentMillis(now+sessionMargin) < l.sessionMillis &&
		now >= l.pausedUntil &&
		!l.haltSender.overdue(now, launchHaltTimeout)
}

// renewUntil returns until when, on the agent's clock, a Watch that is sent now
// renews the session; 0 renews nothing.
func (l *link) renewUntil(now time.Duration) int64 {
	if l.agent == nil || l.failing || l.isSilent(now) || l.haltSender.overdue(now, renewHaltTimeout) {
		return 0
	}
	return l.agentMillis(now) + l.d.cfg.Session.Milliseconds()
}

// runsEndedBy returns when all runs under the session have ended even if the
// agent never answers again, unless its machine has been suspended.
func (l *link) runsEndedBy() time.Duration {
	return l.sessionEnd + l.d.cfg.RunGrace
}

// isAwaited reports whether the agent's runs wait for its answer: it has been
// silent beyond the end of its session.
func (l *link) isAwaited(now time.Duration) bool {
	return l.isSilent(now) && now > l.runsEndedBy()
}

// available returns the reported free capacity less what unanswered launches
// reserve.
func (l *link) available() capacity.Vector { return l.free.Minus(l.reserved) }

// updateState records a state report of the agent, unless it is older than
// the present one.
func (l *link) updateState(reported *wire.WorkerState, now time.Duration) {
	if reported == nil || l.reported != nil && reported.GetVersion() < l.reported.GetVersion() {
		return
	}
	if l.reported.GetId() != reported.GetId() {
		l.speed = speed{}
		l.health = placement.WorkerHealth{}
	}
	l.speed = l.speed.withReport(reported, now)
	l.logState(reported)
	before, service := l.shape(), l.reported.GetService()
	l.reported = reported
	l.reportedAt = now
	l.free = capacity.FromWire(reported.GetFree())
	l.capacity = capacity.FromWire(reported.GetCapacity())
	if service != reported.GetService() || !sameShape(before, l.shape()) {
		l.d.workersChanged = true
	}
}

// setMember records what the directory lists for the agent. If the agent's
// address has changed, calls go to the new one over a connection pool of their
// own.
func (l *link) setMember(member *wire.Member) {
	if l.runner != nil && l.member.GetAddress() == member.GetAddress() {
		if !wire.Same(l.member.GetIncarnation(), member.GetIncarnation()) && !l.watched {
			time.AfterFunc(rand.N(firstLookDelay), l.wake) // its worker may be another one, too
		}
		l.member = member
		return
	}
	l.member = member
	l.client = withOwnPool(l.d.client)
	l.runner = wire.NewRunnerProtobufClient("http://"+member.GetAddress(), l.client)
}

// withOwnPool returns a client whose idle connections can be closed without
// affecting calls to other agents.
func withOwnPool(client *http.Client) *http.Client {
	transport, ok := client.Transport.(*http.Transport)
	if !ok {
		return client
	}
	own := *client
	own.Transport = transport.Clone()
	return &own
}

// dropConnections closes idle connections, so that the next call opens a new
// one.
func (l *link) dropConnections() {
	if _, ok := l.client.Transport.(*http.Transport); ok {
		l.client.CloseIdleConnections()
	}
}
