// Package control is the role of the control group: it keeps the members, the
// ledger's views and the accepted configuration.
package control

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/wire"
)

// decisionsPerLease is how often in a lease the leader looks for decisions.
const decisionsPerLease = 8

// Control is one host of the control group.
type Control struct {
	cfg      *wire.ControlSettings
	log      *slog.Logger
	metrics  *metric.Registry
	scope    tally.Scope
	commands chan func(*state)
}

// state is what a control host knows. One goroutine owns it.
type state struct {
	machine *machine
	leases  *leases
	index   uint64
}

// New returns a control host. Run starts it.
func New(cfg *wire.ControlSettings, log *slog.Logger, metrics *metric.Registry) *Control {
	return &Control{cfg: cfg, log: log, metrics: metrics, scope: metrics.Scope(), commands: make(chan func(*state))}
}

// Run owns the state until ctx ends.
func (c *Control) Run(ctx context.Context) {
	c.loop(ctx, &state{machine: newMachine(c.cfg.GetRetentionMillis()), leases: newLeases(c.lease())})
}

// Handler serves the control interface.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.ControlPathPrefix, wire.NewControlServer(c, c.metrics.Hooks()))
	mux.Handle("/metrics", c.metrics.Handler())
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// Renew implements wire.Control.
func (c *Control) Renew(ctx context.Context, q *wire.RenewRequest) (*wire.RenewReply, error) {
	var reply *wire.RenewReply
	err := c.do(ctx, func(s *state) { reply = c.renew(s, q) })
	return reply, err
}

// Publish implements wire.Control.
func (c *Control) Publish(ctx context.Context, q *wire.PublishRequest) (*wire.PublishReply, error) {
	var reply *wire.PublishReply
	err := c.do(ctx, func(s *state) {
		reply = s.apply(&wire.Command{Command: &wire.Command_Publish{Publish: q}})
	})
	return reply, err
}

// History implements wire.Control.
func (c *Control) History(ctx context.Context, q *wire.HistoryRequest) (*wire.HistoryReply, error) {
	reply := &wire.HistoryReply{}
	err := c.do(ctx, func(s *state) { reply.Changes = s.machine.since(q.GetSince(), int(q.GetLimit())) })
	return reply, err
}

// Status implements wire.Control.
func (c *Control) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	reply := &wire.StatusReply{Id: c.cfg.GetId()}
	err := c.do(ctx, func(s *state) {
		reply.Directory = s.machine.directory()
		reply.Members = s.leases.status(s.machine.state.GetMembers(), time.Now())
	})
	return reply, err
}

// Report implements wire.Control.
func (c *Control) Report(ctx context.Context, q *wire.ReportRequest) (*wire.ReportReply, error) {
	err := c.do(ctx, func(s *state) {
		if view := s.report(q, time.Now()); view != nil {
			s.apply(moveCommand([]*wire.View{view}))
		}
	})
	return &wire.ReportReply{}, err
}

func (c *Control) renew(s *state, q *wire.RenewRequest) *wire.RenewReply {
	member := q.GetMember()
	if s.dead(q) {
		c.scope.Counter("renew_refused_dead").Inc(1)
		return &wire.RenewReply{Dead: true}
	}
	if !unchanged(s.machine.member(member.GetIncarnation()), member) {
		s.apply(joinCommand(member))
	}
	s.leases.renew(member.GetIncarnation(), q.GetDirectoryVersion(), time.Now())
	reply := &wire.RenewReply{LeaseMillis: c.lease().Milliseconds()}
	if s.machine.state.GetVersion() > q.GetDirectoryVersion() {
		reply.Directory = s.machine.directory()
	}
	return reply
}

func (c *Control) lease() time.Duration {
	return time.Duration(c.cfg.GetLeaseMillis()) * time.Millisecond
}

func (c *Control) loop(ctx context.Context, s *state) {
	ticker := time.NewTicker(c.lease() / decisionsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			command(s)
		case now := <-ticker.C:
			c.decide(s, now)
		}
	}
}

func (c *Control) decide(s *state, now time.Time) {
	for _, command := range s.decisions(c.cfg.GetShards(), now) {
		s.apply(command)
	}
}

// do runs f on the goroutine that owns the state.
func (c *Control) do(ctx context.Context, f func(*state)) error {
	done := make(chan struct{})
	command := func(s *state) {
		f(s)
		close(done)
	}
	select {
	case c.commands <- command:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *state) apply(command *wire.Command) *wire.PublishReply {
	s.index++
	command.AtMillis = time.Now().UnixMilli()
	return s.machine.apply(s.index, command)
}
