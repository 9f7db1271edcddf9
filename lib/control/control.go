// Package control is the role of the control group: it keeps the members, the
// ledger's views and the accepted configuration.
package control

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/quorum"
	"skylarklane.example/lib/wire"
)

const (
	// decisionsPerLease is how often in a lease the leader looks for decisions.
	decisionsPerLease = 8
	// proposeTimeout bounds the wait for a decision to be committed.
	proposeTimeout = 10 * time.Second
)

// Control is one host of the control group.
type Control struct {
	cfg    *wire.ControlSettings
	client *http.Client
	log    *slog.Logger
	scope  tally.Scope
	page   http.Handler
	hooks  *twirp.ServerHooks
	node   *quorum.Node
	// state belongs to the node's goroutine.
	state *state
}

// New returns a control host on its data folder. Run starts it. The error says
// what is wrong with the folder or the settings.
func New(cfg *wire.ControlSettings, folder quorum.Folder, client *http.Client, log *slog.Logger, metrics *metric.Registry) (*Control, error) {
	if cfg.GetLeaseMillis() <= 0 || cfg.GetShards() == 0 {
		return nil, &Error{Op: "start", Kind: KindSettings, Err: eris.New("leaseMillis and shards must be set")}
	}
	c := &Control{
		cfg:    cfg,
		client: client,
		log:    log,
		scope:  metrics.Scope(),
		page:   metrics.Handler(),
		hooks:  metrics.Hooks(),
		state:  &state{machine: newMachine(), leases: newLeases(time.Duration(cfg.GetLeaseMillis()) * time.Millisecond)},
	}
	peers := hosts(cfg)
	node, err := quorum.New(quorum.Config{ID: cfg.GetId(), Peers: peers}, quorum.NewClient(client, peers), folder, c.state.machine, log)
	if err != nil {
		return nil, err
	}
	c.node = node
	return c, nil
}

// hosts lists the hosts of the first group.
func hosts(cfg *wire.ControlSettings) []*wire.LogHost {
	var found []*wire.LogHost
	for _, peer := range cfg.GetPeers() {
		found = append(found, &wire.LogHost{Id: peer.GetId(), Address: peer.GetAddress()})
	}
	return found
}

// Run takes part in the group until ctx ends, which is no error, or until the
// data folder fails.
func (c *Control) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.loop(ctx)
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
		c.announce(command)
		if _, err := c.propose(ctx, command); err != nil {
			c.log.Warn("A decision is in doubt.", "error", err)
		}
	}
}

// announce logs who is declared dead.
func (c *Control) announce(command *wire.Command) {
	for _, who := range command.GetDeclare().GetDead() {
		c.log.Warn("A member is silent and declared dead.", "id", who.GetId(), "incarnation", who.GetNumber())
		c.scope.Counter("declared_dead").Inc(1)
	}
	if n := len(command.GetMove().GetViews()); n > 0 {
		c.scope.Counter("view_changes").Inc(int64(n))
	}
}

// read runs f while this host leads and is current.
func (c *Control) read(ctx context.Context, f func(s *state, now time.Time)) error {
	return c.node.Read(ctx, func(term uint64) {
		now := time.Now()
		c.state.lead(term, now)
		f(c.state, now)
	})
}

// propose has the group carry a command out. Only publishing has an answer.
func (c *Control) propose(ctx context.Context, command *wire.Command) (*wire.PublishReply, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command.AtMillis = time.Now().UnixMilli()
	b, err := proto.Marshal(command)
	if err != nil {
		return nil, &Error{Op: "propose", Kind: KindState, Err: eris.Wrap(err, "the command cannot be encoded")}
	}
	value, err := c.node.Propose(ctx, b)
	if err != nil {
		return nil, err
	}
	reply, _ := value.(*wire.PublishReply)
	return reply, nil
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

func (c *Control) lease() time.Duration {
	return time.Duration(c.cfg.GetLeaseMillis()) * time.Millisecond
}
