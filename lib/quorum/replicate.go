package quorum

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// maxAppendBytes bounds the entries of one call, roughly.
const maxAppendBytes = 256 << 10

// progress is how far a leader knows another host to be.
type progress struct {
	next  uint64
	match uint64
	// busy is set while a call is under way.
	busy bool
	// failed is set where the last call was of no use: the next one waits for
	// the heartbeat.
	failed bool
	sentAt time.Time
	// ackedAt is when the last call that was answered was sent.
	ackedAt time.Time
	// calledAt is when this leader first called the host.
	calledAt time.Time
	// askedRound and round are the newest of this leadership that the host was
	// asked in, and that it has answered.
	askedRound uint64
	round      uint64
}

func (n *Node) becomeLeader(now time.Time) {
	noteLeader(n.log, n.cfg.ID, reasonElected, slog.Uint64("term", n.store.vote.GetTerm()))
	n.leading = true
	n.leader = n.cfg.ID
	n.progress = map[string]*progress{}
	n.appendOwn(&wire.LogEntry{}, nil)
	n.termStart = n.store.lastIndex()
	n.heardAt = now
	n.round = 0
	n.lead(now)
}

// lead is a leader's part of tick.
func (n *Node) lead(now time.Time) {
	if !n.reached(now) && now.Sub(n.heardAt) > n.cfg.Timing.Election {
		noteLeader(n.log, "", reasonNoQuorum, slog.Uint64("term", n.store.vote.GetTerm()))
		n.follow(n.store.vote.GetTerm(), "", now)
		return
	}
	n.tend(now)
	for _, host := range n.others() {
		n.send(host, now)
	}
}

// reached tells whether a quorum answered what was sent within the last
// election timeout. No other leader can have been elected since.
func (n *Node) reached(now time.Time) bool {
	count := 0
	for _, host := range n.group.GetHosts() {
		if !host.GetVoter() {
			continue
		}
		p := n.progress[host.GetId()]
		if host.GetId() == n.cfg.ID || p != nil && now.Sub(p.ackedAt) < n.leaseTime() {
			count++
		}
	}
	return count >= quorumSize(n.group)
}

// leaseTime is a little shorter than what the others promise, for clocks that
// do not run alike.
func (n *Node) leaseTime() time.Duration {
	return n.cfg.Timing.Election * 9 / 10
}

// current tells whether this host may speak for the group: it leads, no other
// can lead, and it has applied all that earlier leaders committed.
func (n *Node) current(now time.Time) bool {
	return n.leading && n.reached(now) && n.applied >= n.termStart
}

// send brings a host what it lacks, or a heartbeat when one is due. A new
// folder hears nothing before its admission is committed.
func (n *Node) send(host *wire.LogHost, now time.Time) {
	if !host.GetVoter() && hostOf(n.appliedGroup, host.GetId(), host.GetFolder()) == nil {
		return
	}
	p := n.progress[host.GetId()]
	if p == nil {
		p = &progress{next: n.store.lastIndex() + 1, calledAt: now}
		n.progress[host.GetId()] = p
	}
	due := now.Sub(p.sentAt) >= n.cfg.Timing.Heartbeat || p.askedRound < n.round
	if p.busy || host.GetFolder() == 0 || (p.failed || p.next > n.store.lastIndex()) && !due {
		return
	}
	p.busy = true
	p.sentAt = now
	p.askedRound = n.round
	round := n.round
	if p.next <= n.store.snapshot.GetIndex() {
		n.output(func() { go (&installCall{n, host, n.installRequest(host), round}).run(n.ctx) })
		return
	}
	request := &wire.AppendRequest{
		Group:         n.store.identity.GetGroup(),
		To:            host.GetFolder(),
		Leader:        n.cfg.ID,
		Term:          n.store.vote.GetTerm(),
		PreviousIndex: p.next - 1,
		PreviousTerm:  n.store.termAt(p.next - 1),
		Commit:        n.commit,
		Entries:       n.store.from(p.next, maxAppendBytes),
	}
	n.output(func() { go (&appendCall{n, host, request, now, round}).run(n.ctx) })
}

// appendCall brings entries to one host.
type appendCall struct {
	n      *Node
	host   *wire.LogHost
	q      *wire.AppendRequest
	sentAt time.Time
	round  uint64
}

func (c *appendCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.n.cfg.Timing.Election/2)
	defer cancel()
	reply, err := c.n.transport.Append(ctx, c.host, c.q)
	c.n.post(func() { c.n.takeAppend(c, reply, err) })
}

// takeAppend takes an answer in, where it is one to this term's leader from
// the folder that was meant.
func (n *Node) takeAppend(c *appendCall, reply *wire.AppendReply, err error) {
	p := n.answered(c.host, c.q.GetTerm(), reply.GetTerm())
	if p == nil || err != nil || reply.GetFolder() != c.host.GetFolder() || reply.GetTerm() != c.q.GetTerm() {
		return
	}
	p.failed = false
	p.ackedAt = c.sentAt
	p.round = max(p.round, c.round)
	if !reply.GetAccepted() {
		p.next = max(1, min(p.next-1, reply.GetMatch()+1))
		return
	}
	p.match = max(p.match, reply.GetMatch())
	p.next = max(p.next, p.match+1)
}

// answered ends a call. It returns nil where the answer is to an earlier
// leadership, or to one that ends with it.
func (n *Node) answered(host *wire.LogHost, sentTerm, term uint64) *progress {
	if term > n.store.vote.GetTerm() {
		n.follow(term, "", n.cfg.Now())
	}
	if !n.leading || n.store.vote.GetTerm() != sentTerm {
		return nil
	}
	p := n.progress[host.GetId()]
	if p == nil || hostOf(n.group, host.GetId(), host.GetFolder()) == nil {
		return nil
	}
	p.busy = false
	p.failed = true
	return p
}

// advance moves a leader's commit index to what a quorum has synced. Entries
// of earlier terms are committed only along with one of its own.
func (n *Node) advance() {
	if !n.leading {
		return
	}
	var synced []uint64
	for _, host := range n.group.GetHosts() {
		if !host.GetVoter() {
			continue
		}
		match := n.store.lastIndex()
		if host.GetId() != n.cfg.ID {
			match = 0
			if p := n.progress[host.GetId()]; p != nil {
				match = p.match
			}
		}
		synced = append(synced, match)
	}
	slices.Sort(synced)
	index := synced[len(synced)-quorumSize(n.group)]
	if index <= n.commit || n.store.termAt(index) != n.store.vote.GetTerm() {
		return
	}
	n.commit = index
}

// others lists the group without this host.
func (n *Node) others() []*wire.LogHost {
	var found []*wire.LogHost
	for _, host := range n.group.GetHosts() {
		if host.GetId() != n.cfg.ID {
			found = append(found, host)
		}
	}
	return found
}
