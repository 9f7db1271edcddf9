package quorum

import (
	"context"

	"github.com/rotisserie/eris"
)

// confirmedRead is a read that waits until a quorum has acknowledged this
// leader after the read arrived.
type confirmedRead struct {
	// round is the leader's round that a quorum must acknowledge.
	round uint64
	// index is the log index that must be applied before the read.
	index uint64
	f     func(term uint64)
	done  chan error
}

// ReadConfirmed runs f once a quorum has acknowledged, after the call, that this
// host is the leader. Unlike Read it does not rely on clocks: a host that was
// paused or suspended cannot serve stale state. It returns the errors of Read.
func (n *Node) ReadConfirmed(ctx context.Context, f func(term uint64)) error {
	c := &confirmedRead{f: f, done: make(chan error, 1)}
	if err := n.runInLoop(ctx, func() error { return n.startConfirmedRead(c) }); err != nil {
		return err
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		return &Error{Op: "confirm", Kind: KindNotLeader, Err: ctx.Err()}
	case <-n.stopped:
		return &Error{Op: "confirm", Kind: KindStopped, Err: eris.New("the node has stopped")}
	}
}

// startConfirmedRead starts a round of heartbeats for a read.
func (n *Node) startConfirmedRead(c *confirmedRead) error {
	if !n.leading || n.applied < n.termStart {
		return n.notLeaderError("confirm")
	}
	n.round++
	c.round = n.round
	c.index = n.commit
	n.confirmedReads = append(n.confirmedReads, c)
	return nil
}

// serveConfirmedReads runs the reads whose round a quorum has acknowledged.
func (n *Node) serveConfirmedReads() {
	if len(n.confirmedReads) == 0 {
		return
	}
	var waiting []*confirmedRead
	for _, c := range n.confirmedReads {
		if n.applied < c.index || !n.acknowledged(c.round) {
			waiting = append(waiting, c)
			continue
		}
		c.f(n.store.vote.GetTerm())
		c.done <- nil
	}
	n.confirmedReads = waiting
}

// acknowledged reports whether a quorum has replied to a call of the given
// round or a later one.
func (n *Node) acknowledged(round uint64) bool {
	count := 0
	for _, host := range n.group.GetHosts() {
		if !host.GetVoter() {
			continue
		}
		p := n.progress[host.GetId()]
		if host.GetId() == n.cfg.ID || p != nil && p.round >= round {
			count++
		}
	}
	return count >= quorumSize(n.group)
}

// failConfirmedReads fails the waiting reads when this host is no longer the
// leader.
func (n *Node) failConfirmedReads() {
	for _, c := range n.confirmedReads {
		c.done <- n.notLeaderError("confirm")
	}
	n.confirmedReads = nil
}
