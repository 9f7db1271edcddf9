package quorum

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Append implements wire.Quorum.
func (n *Node) Append(ctx context.Context, q *wire.AppendRequest) (*wire.AppendReply, error) {
	return answer(ctx, n, func() *wire.AppendReply { return n.take(q, n.cfg.Now()) })
}

func (n *Node) take(q *wire.AppendRequest, now time.Time) *wire.AppendReply {
	reply := &wire.AppendReply{Folder: n.store.identity.GetFolder()}
	if !n.follows(q.GetGroup(), q.GetTo(), q.GetTerm(), q.GetLeader(), now) {
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
		reply.Match = n.beforeTerm(previous)
		return reply
	}
	if !n.merge(q.GetEntries()) {
		return &wire.AppendReply{}
	}
	reply.Accepted = true
	reply.Match = previous + uint64(len(q.GetEntries()))
	n.commit = max(n.commit, min(q.GetCommit(), reply.Match))
	return reply
}

// follows takes notice of a leader. It returns false where the message is not
// for this folder or comes from an old leader.
func (n *Node) follows(group, to, term uint64, leader string, now time.Time) bool {
	if to != n.store.identity.GetFolder() {
		return false
	}
	if n.store.fresh() {
		n.adopt(group)
	}
	if group != n.store.identity.GetGroup() || term < n.store.vote.GetTerm() || n.failure != nil {
		return false
	}
	if n.leading && term == n.store.vote.GetTerm() {
		n.fail(&Error{Op: "append", Kind: KindCorrupt, Err: eris.Errorf("host %s also leads term %d", leader, term)})
		return false
	}
	if term > n.store.vote.GetTerm() || n.leader != leader {
		n.follow(term, leader, now)
	}
	n.poll = nil
	n.heardAt = now
	n.delayCampaign(now)
	return true
}

// merge adds the entries that this host lacks. It fails where one contradicts
// what is committed.
func (n *Node) merge(entries []*wire.LogEntry) bool {
	for _, e := range entries {
		if e.GetIndex() <= n.store.snapshot.GetIndex() || n.store.termAt(e.GetIndex()) == e.GetTerm() {
			continue
		}
		if e.GetIndex() <= n.commit {
			n.fail(&Error{Op: "append", Kind: KindCorrupt, Err: eris.Errorf("the leader's entry %d contradicts a committed one", e.GetIndex())})
			return false
		}
		n.append(e)
	}
	return true
}

// beforeTerm returns the last index before the term of the entry at index.
func (n *Node) beforeTerm(index uint64) uint64 {
	term := n.store.termAt(index)
	for index > n.commit && n.store.termAt(index) == term {
		index--
	}
	return index
}
