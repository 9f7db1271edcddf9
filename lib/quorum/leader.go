package quorum

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// maxAppendBytes is the approximate limit on the size of the entries in one
// call.
const maxAppendBytes = 256 << 10

// progress is a leader's view of how far another host has replicated the log.
type progress struct {
	// next is the index of the next entry to send, and match the highest index
	// known to be replicated to the host.
	next  uint64
	match uint64
	// inFlight is set while a call is in progress.
	inFlight bool
	// failed is set if the last call failed. The next call then waits for the
	// heartbeat interval.
	failed bool
	sentAt time.Time
	// ackedAt is when the newest call that was replied to was sent.
	ackedAt time.Time
	// firstCalledAt is when this leader first called the host.
	firstCalledAt time.Time
	// sentRound is the newest round of confirmed reads sent to the host in this
	// term, and round the newest one to which it has replied.
	sentRound uint64
	round     uint64
}

func (n *Node) becomeLeader(now time.Time) {
	logLeaderChange(n.log, n.cfg.ID, reasonElected, slog.Uint64("term", n.store.vote.GetTerm()))
	n.leading = true
	n.leader = n.cfg.ID
	n.progress = map[string]*progress{}
	n.appendAsLeader(&wire.LogEntry{}, nil)
	n.termStart = n.store.lastIndex()
	n.leaderHeardAt = now
	n.round = 0
	n.tickLeader(now)
}

// tickLeader steps down if the quorum is lost; otherwise it maintains the
// membership and sends entries and heartbeats.
func (n *Node) tickLeader(now time.Time) {
	if !n.holdsLease(now) && now.Sub(n.leaderHeardAt) > n.cfg.Timing.Election {
		logLeaderChange(n.log, "", reasonNoQuorum, slog.Uint64("term", n.store.vote.GetTerm()))
		n.becomeFollower(n.store.vote.GetTerm(), "", now)
		return
	}
	n.maintainMembership(now)
	for _, host := range n.otherHosts() {
		n.replicateTo(host, now)
	}
}

// holdsLease reports whether a quorum has replied to calls sent within the
// lease duration. If so, no other leader can have been elected since.
func (n *Node) holdsLease(now time.Time) bool {
	count := 0
	for _, host := range n.group.GetHosts() {
		if !host.GetVoter() {
			continue
		}
		p := n.progress[host.GetId()]
		if host.GetId() == n.cfg.ID || p != nil && now.Sub(p.ackedAt) < n.leaseDuration() {
			count++
		}
	}
	return count >= quorumSize(n.group)
}

// leaseDuration is the duration of the leader's lease. It is a little shorter
// than the time for which followers refuse to vote for others, to allow for
// clocks that run at different rates.
func (n *Node) leaseDuration() time.Duration {
	return n.cfg.Timing.Election * 9 / 10
}

// isCurrentLeader reports whether this host may answer for the group: it is the
// leader, holds its lease, and has applied everything that earlier leaders
// committed.
func (n *Node) isCurrentLeader(now time.Time) bool {
	return n.leading && n.holdsLease(now) && n.applied >= n.termStart
}

// replicateTo sends a host the entries or the snapshot that it lacks, or a
// heartbeat when one is due. A new data folder receives nothing before its
// admission is committed.
func (n *Node) replicateTo(host *wire.LogHost, now time.Time) {
	if !host.GetVoter() && findHost(n.appliedGroup, host.GetId(), host.GetFolder()) == nil {
		return
	}
	p := n.progress[host.GetId()]
	if p == nil {
		p = &progress{next: n.store.lastIndex() + 1, firstCalledAt: now}
		n.progress[host.GetId()] = p
	}
	due := now.Sub(p.sentAt) >= n.cfg.Timing.Heartbeat || p.sentRound < n.round
	if p.inFlight || host.GetFolder() == 0 || (p.failed || p.next > n.store.lastIndex()) && !due {
		return
	}
	p.inFlight = true
	p.sentAt = now
	p.sentRound = n.round
	round := n.round
	if p.next <= n.store.snapshot.GetIndex() {
		n.afterSync(func() { go (&installCall{n, host, n.installRequest(host), round}).run(n.ctx) })
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
		Entries:       n.store.entriesFrom(p.next, maxAppendBytes),
	}
	n.afterSync(func() { go (&appendCall{n, host, request, now, round}).run(n.ctx) })
}

// appendCall sends entries to one host.
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
	c.n.post(func() { c.n.handleAppendReply(c, reply, err) })
}

// handleAppendReply processes a reply. Replies to an earlier term or from
// another data folder of the host are ignored.
func (n *Node) handleAppendReply(c *appendCall, reply *wire.AppendReply, err error) {
	p := n.finishCall(c.host, c.q.GetTerm(), reply.GetTerm())
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

// finishCall marks the call to a host as finished and failed. The caller clears
// failed if the reply is valid. finishCall returns nil if the reply no longer
// matters: the call was made in an earlier term, the reply names a later term,
// or the host is no longer in the group.
func (n *Node) finishCall(host *wire.LogHost, sentTerm, replyTerm uint64) *progress {
	if replyTerm > n.store.vote.GetTerm() {
		n.becomeFollower(replyTerm, "", n.cfg.Now())
	}
	if !n.leading || n.store.vote.GetTerm() != sentTerm {
		return nil
	}
	p := n.progress[host.GetId()]
	if p == nil || findHost(n.group, host.GetId(), host.GetFolder()) == nil {
		return nil
	}
	p.inFlight = false
	p.failed = true
	return p
}

// advanceCommit moves a leader's commit index to the highest index that a
// quorum has synced. Entries of earlier terms are committed only together with
// one of its own term.
func (n *Node) advanceCommit() {
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

// otherHosts returns the hosts of the group other than this one.
func (n *Node) otherHosts() []*wire.LogHost {
	var found []*wire.LogHost
	for _, host := range n.group.GetHosts() {
		if host.GetId() != n.cfg.ID {
			found = append(found, host)
		}
	}
	return found
}
