package quorum

import (
	"context"

	"github.com/rotisserie/eris"
)

// confirm is a read that waits until a quorum has acknowledged this leader
// after the read came in.
type confirm struct {
	round uint64
	// index is how far the machine must be.
	index uint64
	f     func(term uint64)
	done  chan error
}

// Confirm runs f on the state once a quorum has acknowledged this host as the
// leader after the call. Unlike Read it counts on no clock: a host that was
// halted or suspended cannot serve what is old. Errors are as for Read.
func (n *Node) Confirm(ctx context.Context, f func(term uint64)) error {
	c := &confirm{f: f, done: make(chan error, 1)}
	if err := n.do(ctx, func() error { return n.ask(c) }); err != nil {
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

// ask starts a round of heartbeats for a read.
func (n *Node) ask(c *confirm) error {
	if !n.leading || n.applied < n.termStart {
		return n.notLeader("confirm")
	}
	n.round++
	c.round = n.round
	c.index = n.commit
	n.confirms = append(n.confirms, c)
	return nil
}

// serveConfirms runs the reads whose round a quorum has answered.
func (n *Node) serveConfirms() {
	if len(n.confirms) == 0 {
		return
	}
	var waiting []*confirm
	for _, c := range n.confirms {
		if n.applied < c.index || !n.acknowledged(c.round) {
			waiting = append(waiting, c)
			continue
		}
		c.f(n.store.vote.GetTerm())
		c.done <- nil
	}
	n.confirms = waiting
}

// acknowledged tells whether a quorum has answered a call of that round.
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

// dropConfirms answers the waiting reads once this host no longer leads.
func (n *Node) dropConfirms() {
	for _, c := range n.confirms {
		c.done <- n.notLeader("confirm")
	}
	n.confirms = nil
}
