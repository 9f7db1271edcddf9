package entry

import (
	"context"
	"io"
	"log/slog"

	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// Default limits where the settings name none.
const (
	defaultMaxBodyBytes = 8 << 20
	defaultMaxTasks     = 460
	defaultMaxQueued    = 20000
)

// Main runs an entry from its command line and returns the exit code.
func Main(args []string, w io.Writer) int {
	return process.Daemon("entry", "Runs one entry host.", args, w, serve)
}

func serve(ctx context.Context, file string, log *slog.Logger) error {
	cfg := &wire.EntrySettings{}
	if err := settings.Load(file, cfg); err != nil {
		return err
	}
	return Run(ctx, cfg, log, process.LogReady(log))
}

// Run serves as one entry until ctx ends. It calls ready once it listens.
func Run(ctx context.Context, cfg *wire.EntrySettings, log *slog.Logger, ready process.ReadyFunc) error {
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
	follower := membership.New(client, cfg.GetControl(), member, log)
	records := ledger.NewClient(member.GetIncarnation(), follower, client)
	e := New(follower, records, client, limitsOf(cfg), log, metrics)
	server := process.New(security.Listener(listener), security.Guard(e.Handler()), log)
	ready(server.Address(), "")
	e.Run(ctx)
	return server.Shutdown(context.WithoutCancel(ctx))
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
