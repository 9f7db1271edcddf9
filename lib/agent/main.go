package agent

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"

	"skylarklane.example/lib/backend"
	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/slot"
	"skylarklane.example/lib/wire"
)

// Main runs an agent from its command line and returns the exit code.
func Main(args []string, w io.Writer) int {
	return process.Daemon("agent", "Runs the agent of one worker.", args, w, serve)
}

func serve(signals *process.Signals, file string, log *slog.Logger) error {
	cfg := &wire.AgentSettings{}
	if err := settings.Load(file, cfg); err != nil {
		return err
	}
	return Run(signals.Context(), cfg, log, signals.LogReady(log))
}

// Run serves one worker until ctx ends or an operator drains it, and then shuts
// down gracefully. It calls ready once it listens.
func Run(ctx context.Context, cfg *wire.AgentSettings, log *slog.Logger, ready process.ReadyFunc) error {
	ctx, drain := context.WithCancel(ctx)
	defer drain()
	security, err := process.LoadSecurity(cfg.GetSecurity())
	if err != nil {
		return err
	}
	metrics := metric.New("agent")
	defer metrics.Close()
	listener, announceListener, err := listen(cfg)
	if err != nil {
		return err
	}
	client := security.Client()
	a := newAgent(cfg, process.Advertised(cfg.GetAdvertise(), listener), client, log, metrics)
	handler := security.Guard(process.WithDrain(a.Handler(), drain))
	peers := func() []string { return process.PeerAddresses(a.follower.Directory(), cfg.GetControl()) }
	limiter := process.NewLimiter(process.NewLimits(cfg.GetServer()), peers, log, metrics.Scope())
	defer limiter.Close()
	server := process.NewServer(security.Listener(listener), handler, limiter, log)
	announceServer := process.NewServer(announceListener, a.AnnounceHandler(), limiter, log)
	stop := a.start(context.WithoutCancel(ctx), client)
	defer stop()
	ready(server.Address(), announceServer.Address())
	select {
	case <-ctx.Done():
	case <-a.follower.Dead():
		announceServer.Close()
		server.Close()
		return membership.ErrDead()
	}
	return a.shutdown(context.WithoutCancel(ctx), announceServer, server)
}

// listen opens the agent's listeners for other processes and for backend
// servers.
func listen(cfg *wire.AgentSettings) (listener, announceListener net.Listener, err error) {
	listener, err = process.Listen(cfg.GetListen())
	if err != nil {
		return nil, nil, err
	}
	announceListener, err = process.Listen(cfg.GetAnnounce())
	if err != nil {
		_ = listener.Close()
		return nil, nil, err
	}
	return listener, announceListener, nil
}

func newAgent(cfg *wire.AgentSettings, address string, client *http.Client, log *slog.Logger, metrics *metric.Registry) *Agent {
	member := &wire.Member{
		Incarnation: membership.NewIncarnation(cfg.GetId()),
		Role:        wire.Role_ROLE_AGENT,
		Address:     address,
		DataCentre:  cfg.GetDataCentre(),
		Rack:        cfg.GetRack(),
	}
	log = process.Identify(log, member.GetIncarnation())
	follower := membership.New(client, cfg.GetControl(), member, clock.Boot(), log)
	follower.EnableMetrics(metrics.Scope())
	replica := ledger.New(member.GetIncarnation(), follower, follower, client, log, metrics.Scope())
	return New(follower, replica, backend.NewRunner(backend.NewClient()), log, metrics)
}

// start starts the agent's background loops. The returned function stops them.
func (a *Agent) start(ctx context.Context, client *http.Client) context.CancelFunc {
	ctx, stop := context.WithCancel(ctx)
	go a.follower.Run(ctx)
	go a.replica.Run(ctx)
	go a.registry.Run(ctx)
	go (&suspender{slots: a.slots, directory: a.follower, evacuated: a.evacuated, log: a.log}).loop(ctx)
	go slot.NewOfferer(a.slots, a.follower.Member().GetIncarnation(), a.follower, client, a.log).Run(ctx)
	return stop
}

// shutdown leaves and then closes both servers. The membership lease is renewed
// until then, so that the shards can be handed over.
func (a *Agent) shutdown(ctx context.Context, announceServer, server *process.Server) error {
	ctx, cancel := context.WithTimeout(ctx, process.ShutdownTimeout)
	defer cancel()
	a.Leave(ctx)
	_ = announceServer.Shutdown(ctx)
	return server.Shutdown(ctx)
}
