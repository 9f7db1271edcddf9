// Package quorum is a replicated log for a small group of hosts with disks. A
// command is executed once a majority has synced it, in the same order on every
// host. The package does not depend on the daemons: it can be embedded with any
// transport, data folder and state machine.
package quorum

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Node runs a member of a group on a data folder. It cannot be run again after
// it has stopped or failed; Host replaces a failed node by a new one.
type Node struct {
	cfg       Config
	transport Transport
	store     *store
	machine   Machine
	log       *slog.Logger

	events  chan func()
	stopped chan struct{}
	state
}

// maxEventsPerSync bounds how many events share one sync.
const maxEventsPerSync = 512

// New returns a node that uses the given data folder. Run starts it. The error
// is of kind KindCorrupt, KindForeign or KindStorage.
func New(cfg Config, transport Transport, folder Folder, machine Machine, log *slog.Logger) (*Node, error) {
	cfg = cfg.withDefaults()
	s, err := openStore(folder, cfg.ID, cfg.Bootstrap)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, transport: transport, store: s, machine: machine, log: log,
		events: make(chan func()), stopped: make(chan struct{}),
	}
	if err := n.restore(); err != nil {
		return nil, err
	}
	return n, nil
}

// Run takes part in the group until ctx ends, in which case it returns nil, or
// until the node fails.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := n.loop(ctx)
	n.failProposals()
	return err
}

// Propose replicates a command and returns its result. An error of kind
// KindNotLeader means that the call had no effect, KindInDoubt that the command
// may still be executed.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	p := &proposal{done: make(chan outcome, 1)}
	err := n.runInLoop(ctx, func() error { return n.propose(&wire.LogEntry{Command: command}, p) })
	if err != nil {
		return nil, err
	}
	return p.wait(ctx, n.stopped)
}

// Read runs f if this host is the leader, holds its lease and has applied
// everything that earlier leaders committed. Nothing else accesses the state
// machine meanwhile. term is the term in which this host leads. f may still run
// after Read has returned an error, so the caller must not access f's data then.
func (n *Node) Read(ctx context.Context, f func(term uint64)) error {
	return n.runInLoop(ctx, func() error {
		if !n.isCurrentLeader(n.cfg.Now()) {
			return n.notLeaderError("read")
		}
		f(n.store.vote.GetTerm())
		return nil
	})
}

// ReadStatus runs f with the status of this host, which may be stale.
func (n *Node) ReadStatus(ctx context.Context, f func(Status)) error {
	return n.runInLoop(ctx, func() error {
		f(n.status(n.cfg.Now()))
		return nil
	})
}

// Admit adds a host to the group as a learner. It becomes a voter once it has
// caught up. A host that the group already has at that address is acknowledged,
// as a caller without an answer repeats the call. It returns the errors of
// Propose, KindBusy, or KindMember if the group has a host of that id at another
// address.
func (n *Node) Admit(ctx context.Context, host *wire.LogHost) error {
	admitted := false
	err := n.runInLoop(ctx, func() error {
		var err error
		admitted, err = n.isAdmitted(host)
		return err
	})
	if err != nil || admitted {
		return err
	}
	return n.changeGroup(ctx, host.GetId(), false, func(g *wire.LogGroup) *wire.LogGroup {
		return withHost(g, host.GetId(), host.GetAddress(), 0)
	})
}

// isAdmitted reports whether the group has the host at that address. It returns
// an error if this is not committed yet, or this node does not lead.
func (n *Node) isAdmitted(host *wire.LogHost) (bool, error) {
	found := slices.ContainsFunc(n.group.GetHosts(), func(h *wire.LogHost) bool {
		return h.GetId() == host.GetId() && h.GetAddress() == host.GetAddress()
	})
	switch {
	case !found:
		return false, nil
	case !n.isCurrentLeader(n.cfg.Now()):
		return false, n.notLeaderError("change the group")
	case n.groupIndex > n.commit:
		return false, &Error{Op: "change the group", Kind: KindInDoubt, Err: eris.Errorf("the admission of host %s is not committed yet", host.GetId())}
	}
	return true, nil
}

// Remove removes a host from the group. The leader cannot remove itself. It
// returns the errors of Propose, KindBusy, or KindMember if the group has no
// such host.
func (n *Node) Remove(ctx context.Context, id string) error {
	return n.changeGroup(ctx, id, true, func(g *wire.LogGroup) *wire.LogGroup { return withoutHost(g, id) })
}

// changeGroup proposes the membership that change returns. mustBeMember tells
// whether the host has to be a member before the change, or must not be one.
func (n *Node) changeGroup(ctx context.Context, id string, mustBeMember bool, change func(*wire.LogGroup) *wire.LogGroup) error {
	p := &proposal{done: make(chan outcome, 1)}
	err := n.runInLoop(ctx, func() error {
		if isMember := len(withoutHost(n.group, id).GetHosts()) < len(n.group.GetHosts()); isMember != mustBeMember {
			return n.membershipError(id, isMember)
		}
		return n.proposeGroup(change(n.group), p)
	})
	if err != nil {
		return err
	}
	_, err = p.wait(ctx, n.stopped)
	return err
}

// membershipError returns the error for a host that is, or is not, already a
// member. Only the leader knows that; other hosts name the leader instead.
func (n *Node) membershipError(id string, isMember bool) error {
	if !n.isCurrentLeader(n.cfg.Now()) {
		return n.notLeaderError("change the group")
	}
	text := "the group has no host %s"
	if isMember {
		text = "host %s is already in the group"
	}
	return &Error{Op: "change the group", Kind: KindMember, Err: eris.Errorf(text, id)}
}

// loop runs all events of the node and owns its state. The changes of a batch
// of events are synced once; replies and messages that depend on them are sent
// only afterwards.
func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(n.cfg.Timing.Heartbeat / 2)
	defer ticker.Stop()
	n.startTimers(ctx, n.cfg.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-n.events:
			event()
		case <-ticker.C:
		}
		n.runWaitingEvents()
		n.tick(n.cfg.Now())
		if err := n.flushAndApply(); err != nil {
			return err
		}
	}
}

// runWaitingEvents runs the events that are waiting, so that they share the
// next sync.
func (n *Node) runWaitingEvents() {
	for range maxEventsPerSync {
		select {
		case event := <-n.events:
			event()
		default:
			return
		}
	}
}

// flushAndApply syncs changes, applies committed entries, and then runs the
// callbacks that waited for the sync.
func (n *Node) flushAndApply() error {
	if n.failure != nil {
		return n.failure
	}
	if err := n.store.flush(); err != nil {
		return err
	}
	n.advanceCommit()
	if err := n.apply(); err != nil {
		return err
	}
	n.serveConfirmedReads()
	syncCallbacks := n.syncCallbacks
	n.syncCallbacks = nil
	for _, callback := range syncCallbacks {
		callback()
	}
	return n.compact()
}

// post passes an event to the loop. It blocks until the loop receives the event
// or the node has stopped.
func (n *Node) post(event func()) {
	select {
	case n.events <- event:
	case <-n.stopped:
	}
}

// runInLoop runs f in the loop and returns once the changes that f made are
// synced.
func (n *Node) runInLoop(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	event := func() {
		err := f()
		n.afterSync(func() { done <- err })
	}
	select {
	case n.events <- event:
	case <-ctx.Done():
		return &Error{Op: "wait", Kind: KindNotLeader, Err: ctx.Err()}
	case <-n.stopped:
		return &Error{Op: "wait", Kind: KindStopped, Err: eris.New("the node is not running")}
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &Error{Op: "wait", Kind: KindInDoubt, Err: ctx.Err()}
	case <-n.stopped:
		return &Error{Op: "wait", Kind: KindInDoubt, Err: eris.New("the node has stopped")}
	}
}

// callInLoop runs f in the loop and returns its result. The result is passed
// over a channel, so that a caller that returns early does not race with f.
func callInLoop[R any](ctx context.Context, n *Node, f func() R) (R, error) {
	result := make(chan R, 1)
	err := n.runInLoop(ctx, func() error {
		result <- f()
		return nil
	})
	if err != nil {
		var none R
		return none, err
	}
	return <-result, nil
}

// afterSync registers f to run once all changes made so far are synced.
func (n *Node) afterSync(f func()) { n.syncCallbacks = append(n.syncCallbacks, f) }

// notLeaderError returns an error that names the leader, if known. A host with a
// new data folder names the leader of the group that it has found.
func (n *Node) notLeaderError(op string) *Error {
	leader := &wire.LogHost{Id: n.leader}
	if n.store.isNew() && n.cfg.Now().Sub(n.otherLeaderAt) < n.cfg.Timing.Election {
		leader = n.otherLeader
	}
	for _, host := range n.group.GetHosts() {
		if host.GetId() == n.leader {
			leader = host
		}
	}
	return &Error{
		Op: op, Kind: KindNotLeader, Leader: leader.GetId(), Address: leader.GetAddress(),
		Err: eris.New("this host is not the leader or cannot reach a quorum"),
	}
}
