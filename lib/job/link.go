package job

import (
	"context"
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
	// staleAfter is the age of an agent's last answer from which it gets no
	// launches.
	staleAfter = 150 * time.Millisecond
	// sessionMargin is how long before its end a session isn't used any more.
	sessionMargin = 100 * time.Millisecond
	// renewHaltTimeout is how long a halt may be unacknowledged while the
	// session is still renewed. If no halt gets through, the end of the
	// session stops the run.
	renewHaltTimeout = 50 * time.Millisecond
	// launchHaltTimeout is how long a halt may be unacknowledged while the agent
	// still gets launches.
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

	// agent is the incarnation that answered last; word is its last report on
	// its worker.
	agent *wire.Incarnation
	word  *wire.WorkerState
	// free and capacity are those of word.
	free     capacity.Vector
	capacity capacity.Vector
	// unanswered is the capacity of launches whose reply is awaited.
	unanswered capacity.Vector
	wordAt     time.Duration
	answeredAt time.Duration
	// failing is set while the last Watch was not answered.
	failing bool
	// silenceLogged is set while the agent's silence is logged, and before
	// its first answer.
	silenceLogged bool
	// clockMillis is the agent's clock, read at clockAt or before.
	clockMillis int64
	clockAt     time.Duration
	// sessionMillis is the end of the session on the agent's clock.
	sessionMillis int64
	// sessionEnd is when the session has certainly ended on the dispatcher's
	// clock unless it is renewed.
	sessionEnd time.Duration
	// endsSeen is the number of the newest end that was processed.
	endsSeen uint64
	// unstored holds ends of durable jobs' runs that were processed but are
	// not stored.
	unstored []*unstoredEnd
	// contestedUntil is until when other entries are assumed to compete for
	// the agent's capacity.
	contestedUntil time.Duration
	// pausedUntil is when launches may be sent again after a failed one.
	pausedUntil time.Duration

	runs map[runKey]*run
	// orphans are runs under earlier incarnations of the agent.
	orphans        []*run
	haltSender     haltSender
	takeoverSender takeoverSender

	speed   speed
	conduct placement.WorkerHealth
}

// hasState reports whether the agent has reported on its worker.
func (l *link) hasState() bool { return l.agent != nil && l.word != nil }

// isSilent reports whether the agent has not answered for longer than
// silentAfter.
func (l *link) isSilent(now time.Duration) bool { return now-l.answeredAt > silentAfter }

// agentMillis returns a lower bound of the agent's clock at now.
func (l *link) agentMillis(now time.Duration) int64 {
	return l.clockMillis + (now - l.clockAt).Milliseconds()
}

// mayLaunch reports whether a launch that is sent now is likely to be
// accepted.
func (l *link) mayLaunch(now time.Duration) bool {
	return l.hasState() && !l.unlisted && !l.member.GetLeaving() &&
		l.word.GetAccepting() &&
		now-l.answeredAt <= staleAfter &&
		l.agentMillis(now+sessionMargin) < l.sessionMillis &&
		now >= l.pausedUntil &&
		!l.haltSender.overdue(now, launchHaltTimeout)
}

// renewUntil returns the reading of the agent's clock to which a Watch that
// is sent now renews the session; 0 renews nothing.
func (l *link) renewUntil(now time.Duration) int64 {
	if l.agent == nil || l.failing || l.isSilent(now) || l.haltSender.overdue(now, renewHaltTimeout) {
		return 0
	}
	return l.agentMillis(now) + l.d.cfg.Session.Milliseconds()
}

// runsEndedBy returns when all runs under the session have ended even if the
// agent never answers again.
func (l *link) runsEndedBy() time.Duration {
	return l.sessionEnd + l.d.cfg.RunGrace
}

// room returns the reported free capacity less what unanswered launches
// reserve.
func (l *link) room() capacity.Vector { return l.free.Minus(l.unanswered) }

// updateState records a state report of the agent, unless it is older than
// the present one.
func (l *link) updateState(word *wire.WorkerState, now time.Duration) {
	if word == nil || l.word != nil && word.GetVersion() < l.word.GetVersion() {
		return
	}
	if l.word.GetId() != word.GetId() {
		l.speed = speed{}
		l.conduct = placement.WorkerHealth{}
	}
	l.speed = l.speed.withWord(word, now)
	l.logState(word)
	l.word = word
	l.wordAt = now
	l.free = capacity.Of(word.GetFree())
	l.capacity = capacity.Of(word.GetCapacity())
}

// dial directs calls to the agent's address, over a connection pool of their
// own.
func (l *link) dial(member *wire.Member) {
	if l.runner != nil && l.member.GetAddress() == member.GetAddress() {
		l.member = member
		return
	}
	l.member = member
	l.client = ownClient(l.d.client)
	l.runner = wire.NewRunnerProtobufClient("http://"+member.GetAddress(), l.client)
}

// ownClient returns a client whose idle connections can be closed without
// affecting calls to other agents.
func ownClient(client *http.Client) *http.Client {
	transport, ok := client.Transport.(*http.Transport)
	if !ok {
		return client
	}
	own := *client
	own.Transport = transport.Clone()
	return &own
}

// dropConnections makes the next call open a new connection.
func (l *link) dropConnections() {
	if _, ok := l.client.Transport.(*http.Transport); ok {
		l.client.CloseIdleConnections()
	}
}
