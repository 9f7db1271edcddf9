package quorum

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

func (n *Node) installRequest(host *wire.LogHost) *wire.InstallRequest {
	return &wire.InstallRequest{
		Group:    n.store.identity.GetGroup(),
		To:       host.GetFolder(),
		Leader:   n.cfg.ID,
		Term:     n.store.vote.GetTerm(),
		Snapshot: n.store.snapshot,
	}
}

// installCall sends a snapshot to one host.
type installCall struct {
	n    *Node
	host *wire.LogHost
	q    *wire.InstallRequest
	// round is the newest round of confirmed reads when the call was made.
	round uint64
}

func (c *installCall) run(ctx context.Context) {
	sentAt := c.n.cfg.Now()
	ctx, cancel := context.WithTimeout(ctx, c.n.cfg.Timing.Install)
	defer cancel()
	reply, err := c.n.transport.Install(ctx, c.host, c.q)
	c.n.post(func() { c.n.handleInstallReply(c, sentAt, reply, err) })
}

func (n *Node) handleInstallReply(c *installCall, sentAt time.Time, reply *wire.InstallReply, err error) {
	p := n.finishCall(c.host, c.q.GetTerm(), reply.GetTerm())
	if p == nil || err != nil || reply.GetFolder() != c.host.GetFolder() || reply.GetTerm() != c.q.GetTerm() {
		return
	}
	p.failed = false
	p.ackedAt = sentAt
	p.round = max(p.round, c.round)
	p.match = max(p.match, reply.GetMatch())
	p.next = max(p.next, p.match+1)
}

// Install implements wire.Quorum.
func (n *Node) Install(ctx context.Context, q *wire.InstallRequest) (*wire.InstallReply, error) {
	return callInLoop(ctx, n, func() *wire.InstallReply { return n.handleInstall(q, n.cfg.Now()) })
}

func (n *Node) handleInstall(q *wire.InstallRequest, now time.Time) *wire.InstallReply {
	reply := &wire.InstallReply{Folder: n.store.identity.GetFolder()}
	if !n.acceptLeader(q.GetGroup(), q.GetTo(), q.GetTerm(), q.GetLeader(), now) {
		reply.Term = n.store.vote.GetTerm()
		return reply
	}
	if q.GetSnapshot().GetIndex() > n.applied {
		if err := n.installSnapshot(q.GetSnapshot()); err != nil {
			n.fail(err)
			return &wire.InstallReply{Folder: reply.Folder}
		}
	}
	reply.Term = q.GetTerm()
	reply.Match = q.GetSnapshot().GetIndex()
	return reply
}

func (n *Node) installSnapshot(snapshot *wire.LogSnapshot) error {
	if len(snapshot.GetState()) > 0 {
		if err := n.machine.Restore(snapshot.GetState()); err != nil {
			return corruptError(snapshotFile, "%v", err)
		}
	}
	if err := n.store.flush(); err != nil {
		return err
	}
	if err := n.store.compact(snapshot); err != nil {
		return err
	}
	n.commit = max(n.commit, snapshot.GetIndex())
	n.applied = snapshot.GetIndex()
	n.appliedGroup = snapshot.GetGroup()
	n.loadNewestGroup()
	return nil
}
