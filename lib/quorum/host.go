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

// Host is a node that goes on by itself: after a failed write it reads its
// folder anew, and where the group has gone on without the folder, it joins
// with a new one.
type Host struct {
	cfg       Config
	transport Transport
	folder    Folder
	machine   Machine
	log       *slog.Logger

	mu    sync.Mutex
	node  *Node
	known []string
}

// NewHost returns a host on its folder. Run starts it. A folder that cannot be
// used for now is no error; one of another host is.
func NewHost(cfg Config, transport Transport, folder Folder, machine Machine, log *slog.Logger) (*Host, error) {
	h := &Host{cfg: cfg, transport: transport, folder: folder, machine: machine, log: log}
	node, err := New(cfg, transport, folder, machine, log)
	if err != nil && !mendable(err) {
		return nil, err
	}
	h.node = node
	return h, nil
}

// mendable tells whether a host may go on after an error.
func mendable(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Kind == KindStorage || e.Kind == KindCorrupt || e.Kind == KindReplaced)
}

// Run takes part in the group until ctx ends, which is no error, or until the
// folder turns out to be another host's or group's.
func (h *Host) Run(ctx context.Context) error {
	for {
		err := h.run(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		if !mendable(err) {
			return err
		}
		event.HostFailed.Log(ctx, h.log, slog.Any("error", err))
		if !h.mend(ctx, err) {
			return nil
		}
	}
}

func (h *Host) run(ctx context.Context) error {
	if _, err := h.current(); err != nil {
		if err := h.reopen(); err != nil {
			return err
		}
	}
	node, err := h.current()
	if err != nil {
		return err
	}
	err = node.Run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = nil
	h.known = node.addresses()
	return err
}

// mend prepares the folder after a failure, until ctx ends.
func (h *Host) mend(ctx context.Context, cause error) bool {
	for {
		var e *Error
		renew := errors.As(cause, &e) && (e.Kind == KindReplaced || e.Kind == KindCorrupt && h.groupLives(ctx))
		if renew {
			cause = renewFolder(h.folder, h.cfg.ID)
		}
		if renew && cause == nil {
			event.HostStartsOver.Log(ctx, h.log, slog.String("host", h.cfg.ID))
		}
		if cause = h.reopen(); cause == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(reopenPause):
		}
	}
}

// reopen makes a node of the folder.
func (h *Host) reopen() error {
	h.mu.Lock()
	cfg := h.cfg
	known := h.known
	h.mu.Unlock()
	node, err := New(cfg, h.transport, h.folder, h.machine, h.log)
	if err != nil {
		return err
	}
	node.known = slices.Clone(known)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = node
	return nil
}

// groupLives tells whether a leader is met, so that a quorum goes on without
// this host.
func (h *Host) groupLives(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.withDefaults().Timing.Election)
	defer cancel()
	for _, reply := range ask(ctx, h.transport, h.cfg.ID, h.contacts()) {
		if reply.GetLeader() {
			return true
		}
	}
	return false
}

func (h *Host) contacts() []string {
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
	if node == nil {
		return nil
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

// Propose is as for Node, and so are the other methods.
func (h *Host) Propose(ctx context.Context, command []byte) (any, error) {
	n, err := h.current()
	if err != nil {
		return nil, err
	}
	return n.Propose(ctx, command)
}

// Read implements Group.
func (h *Host) Read(ctx context.Context, f func(term uint64)) error {
	n, err := h.current()
	if err != nil {
		return err
	}
	return n.Read(ctx, f)
}

// Confirm implements Group.
func (h *Host) Confirm(ctx context.Context, f func(term uint64)) error {
	n, err := h.current()
	if err != nil {
		return err
	}
	return n.Confirm(ctx, f)
}

// Peek implements Group.
func (h *Host) Peek(ctx context.Context, f func(Status)) error {
	n, err := h.current()
	if err != nil {
		return err
	}
	return n.Peek(ctx, f)
}

// Admit implements Group.
func (h *Host) Admit(ctx context.Context, host *wire.LogHost) error {
	n, err := h.current()
	if err != nil {
		return err
	}
	return n.Admit(ctx, host)
}

// Remove implements Group.
func (h *Host) Remove(ctx context.Context, id string) error {
	n, err := h.current()
	if err != nil {
		return err
	}
	return n.Remove(ctx, id)
}

// Meet implements wire.Quorum.
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
