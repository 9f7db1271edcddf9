// Package control is the role of the control group: it keeps the members, the
// ledger's views and the accepted configuration.
package control

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/wire"
)

// Control is one host of the control group.
type Control struct {
	cfg      *wire.ControlSettings
	log      *slog.Logger
	metrics  *metric.Registry
	commands chan func(*state)
}

// New returns a control host. Run starts it.
func New(cfg *wire.ControlSettings, log *slog.Logger, metrics *metric.Registry) *Control {
	return &Control{cfg: cfg, log: log, metrics: metrics, commands: make(chan func(*state))}
}

// Run owns the state until ctx ends.
func (c *Control) Run(ctx context.Context) {
	c.loop(ctx, newState(c.cfg))
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
func (c *Control) Renew(ctx context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	reply := &wire.RenewReply{LeaseMillis: c.cfg.GetLeaseMillis()}
	err := c.do(ctx, func(s *state) {
		s.renew(r.GetMember(), time.Now())
		if s.directory.GetVersion() > r.GetDirectoryVersion() {
			reply.Directory = s.snapshot()
		}
	})
	return reply, err
}

// Publish implements wire.Control.
func (c *Control) Publish(ctx context.Context, r *wire.PublishRequest) (*wire.PublishReply, error) {
	var reply *wire.PublishReply
	err := c.do(ctx, func(s *state) { reply = s.publish(r, time.Now()) })
	return reply, err
}

// History implements wire.Control.
func (c *Control) History(ctx context.Context, r *wire.HistoryRequest) (*wire.HistoryReply, error) {
	reply := &wire.HistoryReply{}
	err := c.do(ctx, func(s *state) { reply.Changes = s.since(r.GetSince(), int(r.GetLimit())) })
	return reply, err
}

// Status implements wire.Control.
func (c *Control) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusReply, error) {
	reply := &wire.StatusReply{Id: c.cfg.GetId()}
	err := c.do(ctx, func(s *state) {
		reply.Directory = s.snapshot()
		reply.Members = s.memberStatus(time.Now())
	})
	return reply, err
}

// Report implements wire.Control.
func (c *Control) Report(context.Context, *wire.ReportRequest) (*wire.ReportReply, error) {
	return &wire.ReportReply{}, nil
}

func (c *Control) loop(ctx context.Context, s *state) {
	ticker := time.NewTicker(time.Duration(c.cfg.GetLeaseMillis()) * time.Millisecond / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-c.commands:
			command(s)
		case now := <-ticker.C:
			s.expire(now)
		}
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
