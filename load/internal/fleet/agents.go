package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"sync"

	"skylarklane.example/lib/agent"
	"skylarklane.example/lib/event"
	"skylarklane.example/lib/standin"
	"skylarklane.example/lib/wire"
)

const agentsPerRack = 3

// RunAgents runs n agents in this process until ctx ends, each with a stand-in
// backend server. It logs their addresses once all of them listen.
func RunAgents(ctx context.Context, n, slots int, service string, control []string, log *slog.Logger) {
	var agents sync.WaitGroup
	announces := make(chan string, n)
	for i := range n {
		agents.Go(func() { runAgent(ctx, i, slots, service, control, announces) })
	}
	var addresses []string
	for range n {
		addresses = append(addresses, <-announces)
	}
	event.ProcessStarted.Log(ctx, log, slog.Any("announces", addresses))
	agents.Wait()
}

func runAgent(ctx context.Context, n, slots int, service string, control []string, announces chan<- string) {
	cfg := &wire.AgentSettings{
		Id:       fmt.Sprintf("hosted%d", n+1),
		Listen:   "127.0.0.1:0",
		Announce: "127.0.0.1:0",
		Rack:     fmt.Sprintf("rack%d", n/agentsPerRack),
		Control:  control,
	}
	startStandin := func(_, announce string) {
		server, err := standin.New(standin.Options{
			ID: fmt.Sprintf("backend%d", n+1), Service: service, Agent: announce, Slots: slots, Speed: 1, Quiet: true,
		})
		if err == nil {
			go server.Run(ctx)
		}
		announces <- announce
	}
	_ = agent.Run(ctx, cfg, slog.New(slog.DiscardHandler), startStandin)
}
