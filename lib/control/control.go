// Package control is the role of the control group: it keeps the members, the
// ledger's views and the accepted configuration.
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
	// decisionsPerLease is how often in a lease the leader looks for decisions.
	decisionsPerLease = 8
	// proposeTimeout bounds the wait for a decision to be committed.
	proposeTimeout = 2500 * time.Millisecond
	// publishAttempt bounds one attempt at the leader.
	publishAttempt = 1200 * time.Millisecond
	// retryPause is the wait before the leader is looked for again.
	retryPause = 50 * time.Millisecond
	// defaultLease of members, where the settings name none.
	defaultLease = 2 * time.Second
)

// Control is one host of the control group.
type Control struct {
	cfg    *wire.ControlSettings
	client *http.Client
	log    *slog.Logger
	scope  tally.Scope
	page   http.Handler
	hooks  *twirp.ServerHooks
	node   quorum.Group
	jobs   *store.Service
	// now is the clock of leases and elections.
	now func() time.Time
	// inForce is from a configuration's acceptance until a member follows it.
	inForce tally.Histogram
	// hosts are the group's, as last seen.
	hosts atomic.Pointer[hostList]
	// state belongs to the node's goroutine.
	state *state
}

// hostList is the addresses of a group's hosts.
type hostList struct {
	version   uint64
	addresses []string
}

// New returns a control host on the data folder that open returns. Run starts
// it. Without open it is a relay, which passes calls on to the group. The error
// says what is wrong with the settings, or without rejoin with the folder.
func New(cfg *wire.ControlSettings, open quorum.OpenFunc, client *http.Client, log *slog.Logger, metrics *metric.Registry) (*Control, error) {
	if open == nil && len(cfg.GetSeeds()) == 0 {
		return nil, &Error{Op: "start", Kind: KindSettings, Err: eris.New("a host without dataFolder needs seeds")}
	}
	c := &Control{
		cfg:     cfg,
		client:  link.Client(client),
		log:     log,
		scope:   metrics.Scope(),
		inForce: metric.Durations(metrics.Scope(), "config_to_in_force"),
		page:    metrics.Handler(),
		hooks:   metrics.Hooks(),
		now:     bootClock,
		state:   &state{machine: newMachine(), leases: newLeases(leaseOf(cfg)), rollout: rollout{}},
	}
	c.hosts.Store(&hostList{})
	c.jobs = store.NewService(jobLog{c}, c.now, log, c.scope)
	return c, c.join(open)
}

// join makes this host's part of the group.
func (c *Control) join(open quorum.OpenFunc) error {
	cfg := quorum.Config{
		ID: c.cfg.GetId(), Peers: peers(c.cfg), Seeds: c.cfg.GetSeeds(), Address: address(c.cfg),
		Found: c.cfg.GetFound(), Tolerated: int(c.cfg.GetToleratedLosses()), Now: c.now,
	}
	transport := quorum.NewClient(c.client, cfg.Peers)
	if open == nil {
		c.node = quorum.NewRelay(cfg, transport, c.log)
		return nil
	}
	measured := func() (quorum.Folder, error) {
		folder, err := open()
		if err != nil {
			return nil, err
		}
		return newDisk(folder, c.log, c.scope), nil
	}
	if c.cfg.GetRejoin() {
		c.node = quorum.NewHost(cfg, transport, measured, c.state.machine, c.log)
		return nil
	}
	folder, err := measured()
	if err != nil {
		return err
	}
	c.node, err = quorum.New(cfg, transport, folder, c.state.machine, c.log)
	return err
}

// peers lists the hosts of the first group.
func peers(cfg *wire.ControlSettings) []*wire.LogHost {
	var found []*wire.LogHost
	for _, peer := range cfg.GetPeers() {
		found = append(found, &wire.LogHost{Id: peer.GetId(), Address: peer.GetAddress()})
	}
	return found
}

// address is where the others reach this host, empty where the list of peers
// says so: the listening address may leave the port to the kernel.
func address(cfg *wire.ControlSettings) string {
	switch {
	case cfg.GetAdvertise() != "":
		return cfg.GetAdvertise()
	case len(cfg.GetSeeds()) == 0:
		return ""
	}
	return cfg.GetListen()
}

// SetSeeds puts other seeds in the place of the ones in force.
func (c *Control) SetSeeds(ctx context.Context, seeds []string) error {
	if err := c.node.SetSeeds(ctx, seeds); err != nil {
		return err
	}
	event.SeedsSet.Log(ctx, c.log, slog.Any("seeds", seeds))
	return nil
}

// Run takes part in the group until ctx ends, which is no error, or until the
// data folder fails.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.loop(ctx)
	go c.jobs.Run(ctx)
	return c.node.Run(ctx)
}

// loop has the leader decide.
func (c *Control) loop(ctx context.Context) {
	ticker := time.NewTicker(c.lease() / decisionsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.decide(ctx)
		c.measure(ctx)
	}
}

func (c *Control) decide(ctx context.Context) {
	var commands []*wire.Command
	err := c.read(ctx, func(s *state, now time.Time) {
		commands = s.decisions(&wire.Limits{RetentionMillis: c.cfg.GetRetentionMillis()}, c.cfg.GetShards(), now)
	})
	if err != nil {
		return
	}
	for _, command := range commands {
		c.announce(ctx, command)
		if _, err := c.propose(ctx, command); err != nil {
			event.DecisionInDoubt.Log(ctx, c.log, slog.Any("error", err))
		}
	}
}

// announce logs who is declared dead.
func (c *Control) announce(ctx context.Context, command *wire.Command) {
	for _, who := range command.GetDeclare().GetDead() {
		event.MemberDead.Log(ctx, c.log, slog.String("member", who.GetId()), slog.String("peerIncarnation", who.Life()))
		c.scope.Counter("declared_dead").Inc(1)
	}
	if n := len(command.GetMove().GetViews()); n > 0 {
		c.scope.Counter("view_changes").Inc(int64(n))
	}
}

// read runs f while this host leads and is current.
func (c *Control) read(ctx context.Context, f func(s *state, now time.Time)) error {
	return c.node.Read(ctx, func(term uint64) {
		now := c.now()
		c.state.lead(term, now)
		f(c.state, now)
	})
}

// propose has the group carry a command out. Only publishing has an answer.
func (c *Control) propose(ctx context.Context, command *wire.Command) (*wire.PublishReply, error) {
	value, err := c.submit(ctx, command)
	if err != nil {
		return nil, err
	}
	reply, _ := value.(*wire.PublishReply)
	return reply, nil
}

// submit has the group carry a command out and returns the machine's result.
func (c *Control) submit(ctx context.Context, command *wire.Command) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.AtMillis = time.Now().UnixMilli()
	b, err := proto.Marshal(command)
	if err != nil {
		return nil, &Error{Op: "propose", Kind: KindState, Err: eris.Wrap(err, "the command cannot be encoded")}
	}
	return c.node.Propose(ctx, b)
}

// leaderAddress returns where to reach the leader that err names, if any.
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

func (c *Control) lease() time.Duration { return leaseOf(c.cfg) }

func leaseOf(cfg *wire.ControlSettings) time.Duration {
	if cfg.GetLeaseMillis() <= 0 {
		return defaultLease
	}
	return time.Duration(cfg.GetLeaseMillis()) * time.Millisecond
}
