package quorum

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// reopenPause is the wait between two attempts to use a folder.
const reopenPause = 500 * time.Millisecond

// OpenFunc opens a folder. It may take as long as the disk does.
type OpenFunc func() (Folder, error)

// Host is a node that goes on by itself: after a failed write it reads its
// folder anew, and where the group has gone on without the folder, it joins
// with a new one. While it has no folder to use it takes no part, but knows
// where the leader is.
type Host struct {
	cfg       Config
	transport Transport
	open      OpenFunc
	machine   Machine
	log       *slog.Logger
	// relay finds the leader while there is no node.
	relay *Relay
	// folder belongs to Run.
	folder Folder

	mu    sync.Mutex
	node  *Node
	known []string
}

// NewHost returns a host on the folder that open returns. Run opens it.
func NewHost(cfg Config, transport Transport, open OpenFunc, machine Machine, log *slog.Logger) *Host {
	bystander := cfg
	bystander.Found = false
	return &Host{
		cfg: cfg, transport: transport, open: open, machine: machine, log: log,
		relay: NewRelay(bystander, transport, log),
	}
}

// mendable tells whether a host may go on after an error.
func mendable(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Kind == KindStorage || e.Kind == KindCorrupt || e.Kind == KindReplaced)
}

// Run takes part in the group until ctx ends, which is no error, or until the
// folder turns out to be another host's or group's.
func (h *Host) Run(ctx context.Context) error {
	var cause error
	for {
		node, err := h.begin(ctx, cause)
		if err != nil || node == nil {
			return err
		}
		cause = h.run(ctx, node)
		if cause == nil || ctx.Err() != nil {
			return nil
		}
		if !mendable(cause) {
			return cause
		}
		event.HostFailed.Log(ctx, h.log, slog.Any("error", cause))
	}
}

func (h *Host) run(ctx context.Context, node *Node) error {
	err := node.Run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = nil
	h.known = node.addresses()
	return err
}

// begin makes the next node, after the failure of the last one if there was
// one. It returns none once ctx has ended.
func (h *Host) begin(ctx context.Context, cause error) (*Node, error) {
	standIn, stop := context.WithCancel(ctx)
	defer stop()
	h.relay.know(h.addresses())
	go h.relay.loop(standIn)
	for {
		h.renew(ctx, cause)
		node, err := h.reopen()
		if err == nil || !mendable(err) {
			return node, err
		}
		if cause == nil {
			event.HostFailed.Log(ctx, h.log, slog.Any("error", err))
		}
		cause = err
		select {
		case <-ctx.Done():
			return nil, nil
		case <-time.After(reopenPause):
		}
	}
}

// renew makes the folder new where a failure allows it.
func (h *Host) renew(ctx context.Context, cause error) {
	var e *Error
	if !errors.As(cause, &e) || e.Kind != KindReplaced && (e.Kind != KindCorrupt || !h.groupLives(ctx)) {
		return
	}
	if renewFolder(h.folder, h.cfg.ID) == nil {
		event.HostStartsOver.Log(ctx, h.log, slog.String("host", h.cfg.ID))
	}
}

// reopen makes a node of the folder.
func (h *Host) reopen() (*Node, error) {
	began := time.Now()
	if h.folder == nil {
		folder, err := h.open()
		if err != nil {
			return nil, err
		}
		h.folder = folder
	}
	h.mu.Lock()
	cfg := h.cfg
	known := h.known
	h.mu.Unlock()
	node, err := New(cfg, h.transport, h.folder, h.machine, h.log)
	if err != nil {
		return nil, err
	}
	node.known = slices.Clone(known)
	node.note(event.FolderRead, slog.Int64("tookMillis", time.Since(began).Milliseconds()), slog.Uint64("term", node.store.vote.GetTerm()),
		slog.Int("entries", len(node.store.entries)), slog.Uint64("applied", node.applied), slog.Uint64("group", node.store.identity.GetGroup()))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = node
	return node, nil
}

// groupLives tells whether a leader is met, so that a quorum goes on without
// this host.
func (h *Host) groupLives(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.withDefaults().Timing.Election)
	defer cancel()
	for _, reply := range ask(ctx, h.transport, h.cfg.ID, h.addresses()) {
		if reply.GetLeader() {
			return true
		}
	}
	return false
}

// addresses lists the other hosts that this one knows of.
func (h *Host) addresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.Concat(h.cfg.Seeds, h.known)
	return slices.DeleteFunc(all, func(address string) bool { return address == "" || address == h.cfg.Address })
}

// SetSeeds puts other seeds in the place of the ones in force.
func (h *Host) SetSeeds(ctx context.Context, seeds []string) error {
	if len(seeds) == 0 {
		return nil
	}
	h.mu.Lock()
	h.cfg.Seeds = slices.Clone(seeds)
	node := h.node
	h.mu.Unlock()
	if err := h.relay.SetSeeds(ctx, seeds); err != nil || node == nil {
		return err
	}
	return node.SetSeeds(ctx, seeds)
}

// current returns the node that runs, or an error of kind KindStopped.
func (h *Host) current() (*Node, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.node == nil {
		return nil, &Error{Op: "wait", Kind: KindStopped, Err: eris.New("the data folder cannot be used for now")}
	}
	return h.node, nil
}

// group returns the node, or the relay that stands in for it.
func (h *Host) group() Group {
	if n, err := h.current(); err == nil {
		return n
	}
	return h.relay
}

// Propose is as for Node, and so are the other methods.
func (h *Host) Propose(ctx context.Context, command []byte) (any, error) {
	return h.group().Propose(ctx, command)
}

// Read implements Group.
func (h *Host) Read(ctx context.Context, f func(term uint64)) error { return h.group().Read(ctx, f) }

// Confirm implements Group.
func (h *Host) Confirm(ctx context.Context, f func(term uint64)) error {
	return h.group().Confirm(ctx, f)
}

// Admit implements Group.
func (h *Host) Admit(ctx context.Context, host *wire.LogHost) error {
	return h.group().Admit(ctx, host)
}

// Remove implements Group.
func (h *Host) Remove(ctx context.Context, id string) error { return h.group().Remove(ctx, id) }

// Peek implements Group. A host without a node has nothing to show.
func (h *Host) Peek(ctx context.Context, f func(Status)) error {
	n, err := h.current()
	if err != nil {
		return err
	}
	return n.Peek(ctx, f)
}

// Meet implements wire.Quorum. A host without a node must not pass for a relay:
// the seeds would found a group without it.
func (h *Host) Meet(ctx context.Context, q *wire.MeetRequest) (*wire.MeetReply, error) {
	n, err := h.current()
	if err != nil {
		return nil, err
	}
	return n.Meet(ctx, q)
}

// Vote implements wire.Quorum.
func (h *Host) Vote(ctx context.Context, q *wire.VoteRequest) (*wire.VoteReply, error) {
	n, err := h.current()
	if err != nil {
		return nil, err
	}
	return n.Vote(ctx, q)
}

// Append implements wire.Quorum.
func (h *Host) Append(ctx context.Context, q *wire.AppendRequest) (*wire.AppendReply, error) {
	n, err := h.current()
	if err != nil {
		return nil, err
	}
	return n.Append(ctx, q)
}

// Install implements wire.Quorum.
func (h *Host) Install(ctx context.Context, q *wire.InstallRequest) (*wire.InstallReply, error) {
	n, err := h.current()
	if err != nil {
		return nil, err
	}
	return n.Install(ctx, q)
}
