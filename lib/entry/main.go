package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// Default limits, for settings that are unset.
const (
	defaultMaxBodyBytes = 8 << 20
	defaultMaxTasks     = 460
	defaultMaxQueued    = 20000
)

// deadTimeout bounds the shutdown of an entry that was declared dead. It is
// short because other entries take over its jobs and its callers have to retry
// there.
const deadTimeout = 2 * time.Second

// Main runs an entry from the command line and returns the exit code.
func Main(args []string, w io.Writer) int {
	return process.Daemon("entry", "Runs one entry host.", args, w, serve)
}

func serve(signals *process.Signals, file string, log *slog.Logger) error {
	cfg := &wire.EntrySettings{}
	if err := settings.Load(file, cfg); err != nil {
		return err
	}
	return Run(signals.Context(), cfg, log, signals.LogReady(log))
}

// Run serves as an entry until ctx ends or an operator drains it, and then
// shuts down gracefully. It calls ready once it listens.
func Run(ctx context.Context, cfg *wire.EntrySettings, log *slog.Logger, ready process.ReadyFunc) error {
	policy, err := placement.Parse(cfg.GetPlacement())
	if err != nil {
		return err
	}
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	security, err := process.LoadSecurity(cfg.GetSecurity())
	if err != nil {
		return err
	}
	metrics := metric.New("entry")
	defer metrics.Close()
	client := security.Client()
	listener, err := process.Listen(cfg.GetListen())
	if err != nil {
		return err
	}
	member := &wire.Member{
		Incarnation: membership.NewIncarnation(cfg.GetId()),
		Role:        wire.Role_ROLE_ENTRY,
		Address:     process.Advertised(cfg.GetAdvertise(), listener),
		DataCentre:  cfg.GetDataCentre(),
		Rack:        cfg.GetRack(),
	}
	log = process.Identify(log, member.GetIncarnation())
	follower := membership.New(client, cfg.GetControl(), member, clock.Boot(), log)
	follower.EnableMetrics(metrics.Scope())
	records := ledger.NewClient(member.GetIncarnation(), follower, client, metrics.Scope())
	e := New(follower, records, client, limitsOf(cfg), policy, log, metrics)
	peers := func() []string { return process.PeerAddresses(follower.Directory(), cfg.GetControl()) }
	limiter := process.NewLimiter(process.NewLimits(cfg.GetServer()), peers, log, metrics.Scope())
	defer limiter.Close()
	server := process.NewServer(security.Listener(listener), security.Guard(process.WithDrain(e.Handler(), drain)), limiter, log)
	ready(server.Address(), "")
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go e.Run(running)
	select {
	case <-ctx.Done():
	case <-follower.Dead():
		return errors.Join(membership.ErrDead(), e.shutdown(running, server, deadTimeout))
	}
	return e.shutdown(running, server, process.ShutdownTimeout)
}

// shutdown drains the entry and then closes the server.
func (e *Entry) shutdown(ctx context.Context, server *process.Server, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e.Leave(ctx)
	return server.Shutdown(ctx)
}

func limitsOf(cfg *wire.EntrySettings) *wire.EntryLimits {
	limits := &wire.EntryLimits{
		MaxBodyBytes:   cfg.GetLimits().GetMaxBodyBytes(),
		MaxTasks:       cfg.GetLimits().GetMaxTasks(),
		MaxQueuedTasks: cfg.GetLimits().GetMaxQueuedTasks(),
	}
	if limits.MaxBodyBytes == 0 {
		limits.MaxBodyBytes = defaultMaxBodyBytes
	}
	if limits.MaxTasks == 0 {
		limits.MaxTasks = defaultMaxTasks
	}
	if limits.MaxQueuedTasks == 0 {
		limits.MaxQueuedTasks = defaultMaxQueued
	}
	return limits
}
