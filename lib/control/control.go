// Package control implements one host of the control group, which agrees on
// the members, the ledger's views, the accepted configuration and the durable
// jobs.
package control

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/link"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/quorum"
	"skylarklane.example/lib/store"
	"skylarklane.example/lib/wire"
)

const (
	// checksPerLease is how many times per lease the leader checks for commands
	// that are due.
	checksPerLease = 8
	// proposeTimeout bounds the wait for a command to be committed.
	proposeTimeout = 2500 * time.Millisecond
	// publishAttemptTimeout bounds one attempt to publish through the leader.
	publishAttemptTimeout = 1200 * time.Millisecond
	// retryDelay is the delay between attempts of an operator's call.
	retryDelay = 50 * time.Millisecond
	// defaultLease is the length of the members' leases if the settings give
	// none.
	defaultLease = 2 * time.Second
)

// Control is one host of the control group.
type Control struct {
	cfg            *wire.ControlSettings
	client         *http.Client
	log            *slog.Logger
	scope          tally.Scope
	metricsHandler http.Handler
	hooks          *twirp.ServerHooks
	node           quorum.Group
	jobs           *store.Service
	// now is the clock for leases and elections.
	now func() time.Time
	// activationLatency measures the time from a configuration's acceptance
	// until a member uses it.
	activationLatency tally.Histogram
	// hosts is the group's host list as of the last status refresh.
	hosts atomic.Pointer[hostList]
	// dataCentres are the names of data centres from the settings.
	dataCentres atomic.Pointer[[]string]
	// state is owned by the node's goroutine.
	state *state
}

// hostList is the addresses of the group's hosts at one version of the group.
type hostList struct {
	version   uint64
	addresses []string
}

// New returns a control host whose data folder is opened by open. Run starts
// it. If open is nil, the host is a relay, which only forwards calls to the
// group. New returns an error if the settings are invalid. It also returns one
// if the folder cannot be opened, unless the settings set Rejoin: then Run opens
// the folder.
func New(cfg *wire.ControlSettings, open quorum.OpenFunc, client *http.Client, log *slog.Logger, metrics *metric.Registry) (*Control, error) {
	if open == nil && len(cfg.GetSeeds()) == 0 {
		return nil, &Error{Op: "start", Kind: KindSettings, Err: eris.New("a host without dataFolder needs seeds")}
	}
	c := &Control{
		cfg:               cfg,
		client:            link.Client(client),
		log:               log,
		scope:             metrics.Scope(),
		activationLatency: metric.NewDurationHistogram(metrics.Scope(), "config_to_in_force"),
		metricsHandler:    metrics.Handler(),
		hooks:             metrics.Hooks(),
		now:               bootClock,
		state:             &state{machine: newMachine(), leases: newLeases(leaseLengthOf(cfg)), rollout: rollout{}},
	}
	c.hosts.Store(&hostList{})
	c.SetDataCentres(cfg.GetDataCentres())
	c.jobs = store.NewService(jobLog{c}, c.now, log, c.scope)
	return c, c.initNode(open)
}

// initNode creates this host's quorum node.
func (c *Control) initNode(open quorum.OpenFunc) error {
	cfg := quorum.Config{
		ID: c.cfg.GetId(), Peers: peers(c.cfg), Seeds: c.cfg.GetSeeds(), Address: advertiseAddress(c.cfg),
		Bootstrap: c.cfg.GetFound(), ToleratedLosses: int(c.cfg.GetToleratedLosses()), Now: c.now,
	}
	transport := quorum.NewClient(c.client, cfg.Peers)
	if open == nil {
		c.node = quorum.NewRelay(cfg, transport, c.log)
		return nil
	}
	openInstrumented := func() (quorum.Folder, error) {
		folder, err := open()
		if err != nil {
			return nil, err
		}
		return newInstrumentedFolder(folder, c.log, c.scope), nil
	}
	if c.cfg.GetRejoin() {
		c.node = quorum.NewHost(cfg, transport, openInstrumented, c.state.machine, c.log)
		return nil
	}
	folder, err := openInstrumented()
	if err != nil {
		return err
	}
	c.node, err = quorum.New(cfg, transport, folder, c.state.machine, c.log)
	return err
}

// peers lists the hosts of the initial group.
func peers(cfg *wire.ControlSettings) []*wire.LogHost {
	var found []*wire.LogHost
	for _, peer := range cfg.GetPeers() {
		found = append(found, &wire.LogHost{Id: peer.GetId(), Address: peer.GetAddress()})
	}
	return found
}

// advertiseAddress returns the address at which the other hosts reach this
// one. It is empty if there are no seeds: the list of peers then has the
// address, and the port to listen on may be 0.
func advertiseAddress(cfg *wire.ControlSettings) string {
	switch {
	case cfg.GetAdvertise() != "":
		return cfg.GetAdvertise()
	case len(cfg.GetSeeds()) == 0:
		return ""
	}
	return cfg.GetListen()
}

// SetSeeds replaces the current seeds.
func (c *Control) SetSeeds(ctx context.Context, seeds []string) error {
	if err := c.node.SetSeeds(ctx, seeds); err != nil {
		return err
	}
	event.SeedsSet.Log(ctx, c.log, slog.Any("seeds", seeds))
	return nil
}

// Run takes part in the group until ctx ends. It returns an error only if the
// data folder fails.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.maintenanceLoop(ctx)
	go c.jobs.Run(ctx)
	return c.node.Run(ctx)
}

// maintenanceLoop proposes due commands and refreshes the status at a fixed
// interval.
func (c *Control) maintenanceLoop(ctx context.Context) {
	ticker := time.NewTicker(c.leaseLength() / checksPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.proposeDueCommands(ctx)
		c.refreshStatus(ctx)
	}
}

func (c *Control) proposeDueCommands(ctx context.Context) {
	var commands []*wire.Command
	err := c.readAsLeader(ctx, func(s *state, now time.Time) {
		commands = s.dueCommands(&wire.Limits{RetentionMillis: c.cfg.GetRetentionMillis()}, c.cfg.GetShards(), now)
	})
	if err != nil {
		return
	}
	for _, command := range commands {
		c.recordCommand(ctx, command)
		if _, err := c.propose(ctx, command); err != nil {
			event.DecisionInDoubt.Log(ctx, c.log, slog.Any("error", err))
		}
	}
}

// recordCommand logs and counts the members that a command declares dead, and
// counts the views that it changes.
func (c *Control) recordCommand(ctx context.Context, command *wire.Command) {
	for _, inc := range command.GetDeclare().GetDead() {
		event.MemberDead.Log(ctx, c.log, slog.String("member", inc.GetId()), slog.String("peerIncarnation", inc.HexNumber()))
		c.scope.Counter("declared_dead").Inc(1)
	}
	if n := len(command.GetMove().GetViews()); n > 0 {
		c.scope.Counter("view_changes").Inc(int64(n))
	}
}

// readAsLeader runs f while this host is the leader and its state is current.
func (c *Control) readAsLeader(ctx context.Context, f func(s *state, now time.Time)) error {
	return c.node.Read(ctx, func(term uint64) {
		now := c.now()
		c.state.startTerm(term, now)
		f(c.state, now)
	})
}

// propose commits a command through the group and returns its reply, which is
// nil except for publish commands.
func (c *Control) propose(ctx context.Context, command *wire.Command) (*wire.PublishReply, error) {
	value, err := c.commit(ctx, command)
	if err != nil {
		return nil, err
	}
	reply, _ := value.(*wire.PublishReply)
	return reply, nil
}

// commit commits a command through the group and returns the state machine's
// result.
func (c *Control) commit(ctx context.Context, command *wire.Command) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.AtMillis = time.Now().UnixMilli()
	b, err := proto.Marshal(command)
	if err != nil {
		return nil, &Error{Op: "propose", Kind: KindState, Err: eris.Wrap(err, "the command cannot be encoded")}
	}
	return c.node.Propose(ctx, b)
}

// leaderAddress returns the address of the leader named by err, or "" if err
// names none.
func (c *Control) leaderAddress(err error) string {
	var e *quorum.Error
	if !errors.As(err, &e) || e.Kind != quorum.KindNotLeader || e.Leader == c.cfg.GetId() {
		return ""
	}
	for _, peer := range c.cfg.GetPeers() {
		if peer.GetId() == e.Leader {
			return peer.GetAddress()
		}
	}
	return e.Address
}

func (c *Control) leaseLength() time.Duration { return leaseLengthOf(c.cfg) }

func leaseLengthOf(cfg *wire.ControlSettings) time.Duration {
	if cfg.GetLeaseMillis() <= 0 {
		return defaultLease
	}
	return time.Duration(cfg.GetLeaseMillis()) * time.Millisecond
}
