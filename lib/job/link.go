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
	// staleAfter is the age of an agent's answer from which it gets no launches.
	staleAfter = 150 * time.Millisecond
	// sessionMargin is how long before its end a session isn't used any more.
	sessionMargin = 100 * time.Millisecond
	// renewPatience is how long a halt may be unacknowledged while the session
	// is still renewed: its end is what stops the run if no halt gets through.
	renewPatience = 50 * time.Millisecond
	// haltPatience is how long it may be unacknowledged while the agent still
	// gets launches.
	haltPatience = 250 * time.Millisecond
)

// runKey names a run at an agent.
type runKey struct {
	task    string
	attempt uint32
}

// link is what the desk knows of one agent and its worker.
type link struct {
	d      *Desk
	member *wire.Member
	client *http.Client
	runner wire.Runner
	ctx    context.Context
	cancel context.CancelFunc
	// gone is set once the directory doesn't list the agent.
	gone bool

	// agent is the incarnation that answered last.
	agent *wire.Incarnation
	word  *wire.WorkerState
	// free and capacity are those of the word.
	free     capacity.Vector
	capacity capacity.Vector
	// unanswered is what launches take whose reply is awaited.
	unanswered capacity.Vector
	wordAt     time.Duration
	answeredAt time.Duration
	// failing is set while the last Watch was not answered.
	failing bool
	// lost is set while the agent's silence is logged, and before its first
	// answer.
	lost bool
	// clockMillis is the agent's clock as read at clockAt or before.
	clockMillis int64
	clockAt     time.Duration
	// sessionMillis is the end of the session on the agent's clock.
	sessionMillis int64
	// sessionEnd is when the session has surely ended on the desk's clock,
	// unless it is renewed.
	sessionEnd time.Duration
	endsSeen   uint64
	// contestedUntil is until when entries are taken to compete for its room.
	contestedUntil time.Duration
	// pausedUntil is when launches may be sent again after a refusal.
	pausedUntil time.Duration

	runs map[runKey]*run
	// orphans are runs under earlier incarnations of the agent.
	orphans []*run
	halter  halter

	speed   speed
	conduct placement.Conduct
}

// watching tells whether the agent has said something of its worker.
func (l *link) watching() bool { return l.agent != nil && l.word != nil }

// silent tells whether the agent has not answered for long.
func (l *link) silent(now time.Duration) bool { return now-l.answeredAt > silentAfter }

// agentMillis is a lower bound of the agent's clock at now.
func (l *link) agentMillis(now time.Duration) int64 {
	return l.clockMillis + (now - l.clockAt).Milliseconds()
}

// mayLaunch tells whether a launch that is sent now is likely to be taken.
func (l *link) mayLaunch(now time.Duration) bool {
	return l.watching() && !l.gone && !l.member.GetLeaving() &&
		l.word.GetAccepting() &&
		now-l.answeredAt <= staleAfter &&
		l.agentMillis(now+sessionMargin) < l.sessionMillis &&
		now >= l.pausedUntil &&
		!l.halter.overdue(now, haltPatience)
}

// renewUntil returns up to which reading of the agent's clock a Watch that is
// sent now renews the session; 0 renews nothing.
func (l *link) renewUntil(now time.Duration) int64 {
	if l.agent == nil || l.failing || l.silent(now) || l.halter.overdue(now, renewPatience) {
		return 0
	}
	return l.agentMillis(now) + l.d.cfg.Session.Milliseconds()
}

// surelyEnded returns when all runs under the session have ended even if the
// agent is never heard of again.
func (l *link) surelyEnded() time.Duration {
	return l.sessionEnd + l.d.cfg.RunGrace
}

// room is the free capacity that the desk reckons with.
func (l *link) room() capacity.Vector { return l.free.Minus(l.unanswered) }

// takeWord takes the agent's word on its worker, unless it is older than the
// one at hand.
func (l *link) takeWord(word *wire.WorkerState, now time.Duration) {
	if word == nil || l.word != nil && word.GetVersion() < l.word.GetVersion() {
		return
	}
	if l.word.GetId() != word.GetId() {
		l.speed = speed{}
		l.conduct = placement.Conduct{}
	}
	l.speed = l.speed.withWord(word, now)
	l.noteWord(word)
	l.word = word
	l.wordAt = now
	l.free = capacity.Of(word.GetFree())
	l.capacity = capacity.Of(word.GetCapacity())
}

// dial makes the calls to the agent go to its address, over connections of
// their own.
func (l *link) dial(member *wire.Member) {
	if l.runner != nil && l.member.GetAddress() == member.GetAddress() {
		l.member = member
		return
	}
	l.member = member
	l.client = ownClient(l.d.client)
	l.runner = wire.NewRunnerProtobufClient("http://"+member.GetAddress(), l.client)
}

// ownClient returns a client whose idle connections can be dropped without
// harm to calls to other agents.
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
