package control

import (
	"context"
	"io"
	"log/slog"
	"runtime/debug"
	"slices"
	"time"

	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// Main runs a control host from its command line and returns the exit code.
func Main(args []string, w io.Writer) int {
	return process.Daemon("control", "Runs one host of the control group.", args, w, serve)
}

// gcPercent is the GOGC value of a control host. It makes the garbage collector
// run twice as often as by default, as a control host has little work and little
// memory.
const gcPercent = 50

func serve(signals *process.Signals, file string, log *slog.Logger) error {
	debug.SetGCPercent(gcPercent)
	cfg := &wire.ControlSettings{}
	if err := settings.Load(file, cfg); err != nil {
		return err
	}
	return run(signals.Context(), cfg, log, signals.LogReady(log), &seedReloader{file: file, requests: signals.Reloads()})
}

// Run serves as one control host until ctx ends. It calls ready once it listens.
func Run(ctx context.Context, cfg *wire.ControlSettings, log *slog.Logger, ready process.ReadyFunc) error {
	return run(ctx, cfg, log, ready, &seedReloader{})
}

func run(ctx context.Context, cfg *wire.ControlSettings, log *slog.Logger, ready process.ReadyFunc, r *seedReloader) error {
	log = process.Identify(log, membership.NewIncarnation(cfg.GetId()))
	security, err := process.LoadSecurity(cfg.GetSecurity())
	if err != nil {
		return err
	}
	metrics := metric.New("control")
	defer metrics.Close()
	folder := NewDataFolder(cfg.GetDataFolder())
	defer folder.Close()
	c, err := New(cfg, folder.OpenFunc(), security.Client(), log, metrics)
	if err != nil {
		return err
	}
	listener, err := process.Listen(cfg.GetListen())
	if err != nil {
		return err
	}
	limiter := process.NewLimiter(process.NewLimits(cfg.GetServer()), func() []string { return groupAddresses(cfg) }, log, metrics.Scope())
	defer limiter.Close()
	server := process.NewServer(security.Listener(listener), security.Guard(c.Handler()), limiter, log)
	ready(server.Address(), "")
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	r.control = c
	go r.run(running)
	return c.Serve(ctx, server, func() time.Duration { return process.ShutdownTimeout })
}

// groupAddresses returns the addresses of the control hosts that the settings name.
func groupAddresses(cfg *wire.ControlSettings) []string {
	addresses := slices.Clone(cfg.GetSeeds())
	for _, peer := range cfg.GetPeers() {
		addresses = append(addresses, peer.GetAddress())
	}
	return addresses
}
