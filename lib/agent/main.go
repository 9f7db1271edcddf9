package agent

import (
	"context"
	"io"
	"log/slog"

	"skylarklane.example/lib/backend"
	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// Main runs an agent from its command line and returns the exit code.
func Main(args []string, w io.Writer) int {
	return process.Daemon("agent", "Runs the agent of one worker.", args, w, serve)
}

func serve(ctx context.Context, file string, log *slog.Logger) error {
	cfg := &wire.AgentSettings{}
	if err := settings.Load(file, cfg); err != nil {
		return err
	}
	return Run(ctx, cfg, log, process.LogReady(log))
}

// Run serves one worker until ctx ends. It calls ready once it listens.
func Run(ctx context.Context, cfg *wire.AgentSettings, log *slog.Logger, ready process.ReadyFunc) error {
	security, err := process.LoadSecurity(cfg.GetSecurity())
	if err != nil {
		return err
	}
	metrics := metric.New("agent")
	defer metrics.Close()
	client := security.Client()
	listener, err := process.Listen(cfg.GetListen())
	if err != nil {
		return err
	}
	member := &wire.Member{
		Incarnation: membership.NewIncarnation(cfg.GetId()),
		Role:        wire.Role_ROLE_AGENT,
		Address:     process.Advertised(cfg.GetAdvertise(), listener),
		DataCentre:  cfg.GetDataCentre(),
		Rack:        cfg.GetRack(),
	}
	follower := membership.New(client, cfg.GetControl(), member, log)
	replica := ledger.New(member.GetIncarnation(), follower, client)
	a := New(follower, replica, backend.NewRunner(process.NewClient()), log, metrics)
	server := process.New(security.Listener(listener), security.Guard(a.Handler()), log)
	announceListener, err := process.Listen(cfg.GetAnnounce())
	if err != nil {
		server.Close()
		return err
	}
	announce := process.New(announceListener, a.AnnounceHandler(), log)
	ready(server.Address(), announce.Address())
	follower.Run(ctx)
	_ = announce.Shutdown(context.WithoutCancel(ctx))
	return server.Shutdown(context.WithoutCancel(ctx))
}
