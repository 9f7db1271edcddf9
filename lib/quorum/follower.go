package quorum

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Append implements wire.Quorum.
func (n *Node) Append(ctx context.Context, q *wire.AppendRequest) (*wire.AppendReply, error) {
	return callInLoop(ctx, n, func() *wire.AppendReply { return n.handleAppend(q, n.cfg.Now()) })
}

func (n *Node) handleAppend(q *wire.AppendRequest, now time.Time) *wire.AppendReply {
	reply := &wire.AppendReply{Folder: n.store.identity.GetFolder()}
	if !n.acceptLeader(q.GetGroup(), q.GetTo(), q.GetTerm(), q.GetLeader(), now) {
		reply.Term = n.store.vote.GetTerm()
		return reply
	}
	reply.Term = q.GetTerm()
	previous := q.GetPreviousIndex()
	if previous > n.store.lastIndex() {
		reply.Match = n.store.lastIndex()
		return reply
	}
	if previous > n.store.snapshot.GetIndex() && n.store.termAt(previous) != q.GetPreviousTerm() {
		reply.Match = n.lastIndexBeforeTermOf(previous)
		return reply
	}
	if !n.appendMissing(q.GetEntries()) {
		return &wire.AppendReply{}
	}
	reply.Accepted = true
	reply.Match = previous + uint64(len(q.GetEntries()))
	n.commit = max(n.commit, min(q.GetCommit(), reply.Match))
	return reply
}

// acceptLeader handles a message from a leader. It returns false if the message
// is addressed to another data folder or group, comes from an outdated leader,
// or if this node has failed.
func (n *Node) acceptLeader(group, to, term uint64, leader string, now time.Time) bool {
	if to != n.store.identity.GetFolder() {
		return false
	}
	if n.store.isNew() {
		n.joinGroup(group)
	}
	if group != n.store.identity.GetGroup() || term < n.store.vote.GetTerm() || n.failure != nil {
		return false
	}
	if n.leading && term == n.store.vote.GetTerm() {
		n.fail(&Error{Op: "append", Kind: KindCorrupt, Err: eris.Errorf("host %s also claims to lead term %d", leader, term)})
		return false
	}
	if term > n.store.vote.GetTerm() || n.leader != leader {
		n.becomeFollower(term, leader, now)
	}
	n.election = nil
	n.leaderHeardAt = now
	n.delayCampaign(now)
	return true
}

// appendMissing appends the entries that this host lacks. It stops the node and
// returns false if an entry conflicts with a committed one.
func (n *Node) appendMissing(entries []*wire.LogEntry) bool {
	for _, e := range entries {
		if e.GetIndex() <= n.store.snapshot.GetIndex() || n.store.termAt(e.GetIndex()) == e.GetTerm() {
			continue
		}
		if e.GetIndex() <= n.commit {
			n.fail(&Error{Op: "append", Kind: KindCorrupt, Err: eris.Errorf("the leader's entry %d conflicts with a committed entry", e.GetIndex())})
			return false
		}
		n.append(e)
	}
	return true
}

// lastIndexBeforeTermOf returns the last index before the term of the entry at
// index, or the commit index if that is higher. A follower whose entry at index
// conflicts with the leader's replies with the result, and the leader resumes
// replication after it.
func (n *Node) lastIndexBeforeTermOf(index uint64) uint64 {
	term := n.store.termAt(index)
	for index > n.commit && n.store.termAt(index) == term {
		index--
	}
	return index
}
