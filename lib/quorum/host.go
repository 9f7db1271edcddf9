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

// reopenDelay is the delay before the data folder is opened again after a
// failure. The other hosts elect a leader meanwhile, so that a leader which
// cannot write does not win the next election too.
const reopenDelay = 500 * time.Millisecond

// OpenFunc opens a data folder. It may block for as long as the disk does.
type OpenFunc func() (Folder, error)

// Host runs a node and recovers from its failures. After a failed write it
// reads the data folder again; if the group has removed the folder, it resets
// the folder and rejoins. While it has no usable folder it does not take part
// in the group but still locates the leader.
type Host struct {
	cfg       Config
	transport Transport
	open      OpenFunc
	machine   Machine
	log       *slog.Logger
	// relay locates the leader while there is no node.
	relay *Relay
	// folder is used only by Run.
	folder Folder

	mu   sync.Mutex
	node *Node
	// seeds replace those of cfg.
	seeds          []string
	knownAddresses []string
}

// NewHost returns a host. Run opens its data folder with open.
func NewHost(cfg Config, transport Transport, open OpenFunc, machine Machine, log *slog.Logger) *Host {
	relayCfg := cfg
	relayCfg.Bootstrap = false
	return &Host{
		cfg: cfg, transport: transport, open: open, machine: machine, log: log, seeds: cfg.Seeds,
		relay: NewRelay(relayCfg, transport, log),
	}
}

// isRecoverable reports whether a host can continue with a new node after an
// error.
func isRecoverable(err error) bool {
	var e *Error
	return errors.As(err, &e) && (e.Kind == KindStorage || e.Kind == KindCorrupt || e.Kind == KindReplaced)
}

// Run takes part in the group until ctx ends, in which case it returns nil, or
// until the data folder turns out to belong to another host or group.
func (h *Host) Run(ctx context.Context) error {
	var cause error
	for {
		node, err := h.openNode(ctx, cause)
		if err != nil || node == nil {
			return err
		}
		cause = h.runNode(ctx, node)
		if cause == nil || ctx.Err() != nil {
			return nil
		}
		if !isRecoverable(cause) {
			return cause
		}
		event.HostFailed.Log(ctx, h.log, slog.Any("error", cause))
	}
}

// runNode runs a node until it ends, and keeps the addresses that it knew for
// the next node.
func (h *Host) runNode(ctx context.Context, node *Node) error {
	err := node.Run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = nil
	h.knownAddresses = node.addresses()
	return err
}

// openNode opens the data folder and returns a new node, retrying until it
// succeeds. cause is the failure of the previous node, if any. It returns nil
// once ctx has ended.
func (h *Host) openNode(ctx context.Context, cause error) (*Node, error) {
	relayCtx, stop := context.WithCancel(ctx)
	defer stop()
	h.relay.addKnownAddresses(h.addresses())
	go h.relay.loop(relayCtx)
	for {
		if cause != nil && !waitToReopen(ctx) {
			return nil, nil
		}
		h.resetFolderIfAllowed(ctx, cause)
		node, err := h.newNode()
		if err == nil || !isRecoverable(err) {
			return node, err
		}
		if cause == nil {
			event.HostFailed.Log(ctx, h.log, slog.Any("error", err))
		}
		cause = err
	}
}

// waitToReopen waits until the data folder may be opened again. It returns false
// if ctx ends before.
func waitToReopen(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(reopenDelay):
		return true
	}
}

// resetFolderIfAllowed resets the data folder if the group has removed it, or
// if it is corrupt and the group continues without this host.
func (h *Host) resetFolderIfAllowed(ctx context.Context, cause error) {
	var e *Error
	if !errors.As(cause, &e) || e.Kind != KindReplaced && (e.Kind != KindCorrupt || !h.groupHasLeader(ctx)) {
		return
	}
	if err := resetFolder(h.folder, h.cfg.ID); err != nil {
		event.HostFailed.Log(ctx, h.log, slog.Any("error", err))
		return
	}
	event.HostStartsOver.Log(ctx, h.log, slog.String("host", h.cfg.ID))
}

// newNode opens the data folder if necessary and creates a node on it.
func (h *Host) newNode() (*Node, error) {
	began := time.Now()
	if h.folder == nil {
		folder, err := h.open()
		if err != nil {
			return nil, err
		}
		h.folder = folder
	}
	node, err := New(h.cfg, h.transport, h.folder, h.machine, h.log)
	if err != nil {
		return nil, err
	}
	node.logEvent(event.FolderRead, slog.Int64("tookMillis", time.Since(began).Milliseconds()), slog.Uint64("term", node.store.vote.GetTerm()),
		slog.Int("entries", len(node.store.entries)), slog.Uint64("applied", node.applied), slog.Uint64("group", node.store.identity.GetGroup()))
	h.mu.Lock()
	defer h.mu.Unlock()
	// Seeds may have been set while the folder was read. From here on SetSeeds
	// passes them to the node.
	node.seeds, node.knownAddresses = h.seeds, slices.Clone(h.knownAddresses)
	h.node = node
	return node, nil
}

// groupHasLeader reports whether some host replies as the leader, which means
// that a quorum works without this host.
func (h *Host) groupHasLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.withDefaults().Timing.Election)
	defer cancel()
	for _, reply := range queryHosts(ctx, h.transport, h.cfg.ID, h.addresses()) {
		if reply.GetLeader() {
			return true
		}
	}
	return false
}

// addresses returns the addresses of all other known hosts.
func (h *Host) addresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := slices.Concat(h.seeds, h.knownAddresses)
	return slices.DeleteFunc(all, func(address string) bool { return address == "" || address == h.cfg.Address })
}

// SetSeeds replaces the seeds. An empty list is ignored.
func (h *Host) SetSeeds(ctx context.Context, seeds []string) error {
	if len(seeds) == 0 {
		return nil
	}
	h.mu.Lock()
	h.seeds = slices.Clone(seeds)
	node := h.node
	h.mu.Unlock()
	if err := h.relay.SetSeeds(ctx, seeds); err != nil || node == nil {
		return err
	}
	return node.SetSeeds(ctx, seeds)
}

// runningNode returns the running node, or an error of kind KindStopped.
func (h *Host) runningNode() (*Node, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.node == nil {
		return nil, &Error{Op: "wait", Kind: KindStopped, Err: eris.New("the data folder is not available at the moment")}
	}
	return h.node, nil
}

// group returns the running node, or else the relay.
func (h *Host) group() Group {
	if n, err := h.runningNode(); err == nil {
		return n
	}
	return h.relay
}

// Propose implements Group.
func (h *Host) Propose(ctx context.Context, command []byte) (any, error) {
	return h.group().Propose(ctx, command)
}

// Read implements Group.
func (h *Host) Read(ctx context.Context, f func(term uint64)) error { return h.group().Read(ctx, f) }

// ReadConfirmed implements Group.
func (h *Host) ReadConfirmed(ctx context.Context, f func(term uint64)) error {
	return h.group().ReadConfirmed(ctx, f)
}

// Admit implements Group.
func (h *Host) Admit(ctx context.Context, host *wire.LogHost) error {
	return h.group().Admit(ctx, host)
}

// Remove implements Group.
func (h *Host) Remove(ctx context.Context, id string) error { return h.group().Remove(ctx, id) }

// ReadStatus implements Group. Without a running node it returns an error of
// kind KindStopped.
func (h *Host) ReadStatus(ctx context.Context, f func(Status)) error {
	n, err := h.runningNode()
	if err != nil {
		return err
	}
	return n.ReadStatus(ctx, f)
}

// Meet implements wire.Quorum. Without a running node it returns an error
// instead of the relay's reply: if seeds took this host for a relay, they would
// create a group without it.
func (h *Host) Meet(ctx context.Context, q *wire.MeetRequest) (*wire.MeetReply, error) {
	n, err := h.runningNode()
	if err != nil {
		return nil, err
	}
	return n.Meet(ctx, q)
}

// Vote implements wire.Quorum.
func (h *Host) Vote(ctx context.Context, q *wire.VoteRequest) (*wire.VoteReply, error) {
	n, err := h.runningNode()
	if err != nil {
		return nil, err
	}
	return n.Vote(ctx, q)
}

// Append implements wire.Quorum.
func (h *Host) Append(ctx context.Context, q *wire.AppendRequest) (*wire.AppendReply, error) {
	n, err := h.runningNode()
	if err != nil {
		return nil, err
	}
	return n.Append(ctx, q)
}

// Install implements wire.Quorum.
func (h *Host) Install(ctx context.Context, q *wire.InstallRequest) (*wire.InstallReply, error) {
	n, err := h.runningNode()
	if err != nil {
		return nil, err
	}
	return n.Install(ctx, q)
}
