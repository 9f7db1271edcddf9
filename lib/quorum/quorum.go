// Package quorum is a replicated log for a few hosts with disks. A command is
// carried out once a majority has synced it, in the same order on every host.
// It has no dependency on the daemons: embed it with a transport, a folder and
// a state machine of your own.
package quorum

import (
	"context"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Node is one host of a group.
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

// maxDrain bounds how many events share one sync.
const maxDrain = 512

// New returns a node on its folder. Run starts it. The error is of kind
// KindCorrupt, KindForeign or KindStorage.
func New(cfg Config, transport Transport, folder Folder, machine Machine, log *slog.Logger) (*Node, error) {
	cfg = cfg.withDefaults()
	s, err := openStore(folder, cfg.ID, cfg.Found)
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

// Run takes part in the group until ctx ends, which is no error, or until the
// folder fails.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err := n.loop(ctx)
	n.dropProposals()
	return err
}

// Propose has the group carry a command out and returns its result. An error
// of kind KindNotLeader means that nothing was done, one of kind KindInDoubt
// that the command may still be carried out.
func (n *Node) Propose(ctx context.Context, command []byte) (any, error) {
	p := &proposal{done: make(chan outcome, 1)}
	err := n.do(ctx, func() error { return n.propose(&wire.LogEntry{Command: command}, p) })
	if err != nil {
		return nil, err
	}
	return p.wait(ctx, n.stopped)
}

// Read runs f while this host leads, is current and has applied all that is
// committed. Nothing else touches the machine meanwhile. term tells one
// leadership from another. After an error f may still run: leave alone what it
// touches.
func (n *Node) Read(ctx context.Context, f func(term uint64)) error {
	return n.do(ctx, func() error {
		if !n.current(n.cfg.Now()) {
			return n.notLeader("read")
		}
		f(n.store.vote.GetTerm())
		return nil
	})
}

// Peek runs f on what this host has, which may be old.
func (n *Node) Peek(ctx context.Context, f func(Status)) error {
	return n.do(ctx, func() error {
		f(n.status(n.cfg.Now()))
		return nil
	})
}

// Admit adds a host to the group, first without a vote. It gets one when it
// has caught up. Errors are as for Propose, KindBusy, and KindMember where the
// group has a host of that id.
func (n *Node) Admit(ctx context.Context, host *wire.LogHost) error {
	return n.changeGroup(ctx, host.GetId(), false, func(g *wire.LogGroup) *wire.LogGroup {
		return withHost(g, host.GetId(), host.GetAddress(), 0)
	})
}

// Remove takes a host out of the group. The leader cannot remove itself.
// Errors are as for Propose, KindBusy, and KindMember where there is none.
func (n *Node) Remove(ctx context.Context, id string) error {
	return n.changeGroup(ctx, id, true, func(g *wire.LogGroup) *wire.LogGroup { return withoutHost(g, id) })
}

func (n *Node) changeGroup(ctx context.Context, id string, member bool, change func(*wire.LogGroup) *wire.LogGroup) error {
	p := &proposal{done: make(chan outcome, 1)}
	err := n.do(ctx, func() error {
		if isMember := len(withoutHost(n.group, id).GetHosts()) < len(n.group.GetHosts()); isMember != member {
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

func (n *Node) membershipError(id string, isMember bool) error {
	if !n.current(n.cfg.Now()) {
		return n.notLeader("change the group")
	}
	text := "the group has no host %s"
	if isMember {
		text = "the group has a host %s already"
	}
	return &Error{Op: "change the group", Kind: KindMember, Err: eris.Errorf(text, id)}
}

// loop owns the state. What a round of events changes is synced once, and only
// then told to anyone.
func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(n.cfg.Timing.Heartbeat / 2)
	defer ticker.Stop()
	n.begin(ctx, n.cfg.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-n.events:
			event()
		case <-ticker.C:
		}
		n.drain()
		n.tick(n.cfg.Now())
		if err := n.settle(); err != nil {
			return err
		}
	}
}

func (n *Node) drain() {
	for range maxDrain {
		select {
		case event := <-n.events:
			event()
		default:
			return
		}
	}
}

// settle syncs, applies what is committed, and then lets the outputs go.
func (n *Node) settle() error {
	if n.failure != nil {
		return n.failure
	}
	if err := n.store.flush(); err != nil {
		return err
	}
	n.advance()
	if err := n.apply(); err != nil {
		return err
	}
	n.serveConfirms()
	outputs := n.outputs
	n.outputs = nil
	for _, output := range outputs {
		output()
	}
	return n.compact()
}

// post hands an event to the loop.
func (n *Node) post(event func()) {
	select {
	case n.events <- event:
	case <-n.stopped:
	}
}

// do runs f in the loop and returns after what it changed is synced.
func (n *Node) do(ctx context.Context, f func() error) error {
	done := make(chan error, 1)
	event := func() {
		err := f()
		n.output(func() { done <- err })
	}
	select {
	case n.events <- event:
	case <-ctx.Done():
		return &Error{Op: "wait", Kind: KindNotLeader, Err: ctx.Err()}
	case <-n.stopped:
		return &Error{Op: "wait", Kind: KindStopped, Err: eris.New("the node does not run")}
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

// answer runs f in the loop and returns its result. A caller that leaves early
// touches nothing of it.
func answer[R any](ctx context.Context, n *Node, f func() R) (R, error) {
	result := make(chan R, 1)
	err := n.do(ctx, func() error {
		result <- f()
		return nil
	})
	if err != nil {
		var none R
		return none, err
	}
	return <-result, nil
}

// output keeps f until all that is changed so far is synced.
func (n *Node) output(f func()) { n.outputs = append(n.outputs, f) }

func (n *Node) notLeader(op string) *Error {
	leader := &wire.LogHost{Id: n.leader}
	if n.store.fresh() && n.cfg.Now().Sub(n.metAt) < n.cfg.Timing.Election {
		leader = n.met
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
