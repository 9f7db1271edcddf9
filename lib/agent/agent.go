// Package agent implements the role that runs on a worker beside its backend
// servers. The servers announce themselves to the agent, which runs tasks on
// them and holds replicas of the ledger's shards.
package agent

import (
	"context"
	"log/slog"
	"net/http"

	"skylarklane.example/lib/backend"
	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/slot"
	"skylarklane.example/lib/task"
	"skylarklane.example/lib/wire"
)

// Agent runs the tasks of one worker.
type Agent struct {
	follower     *membership.Follower
	replica      *ledger.Replica
	slots        *slot.Pool
	tasks        *task.Table
	runningTasks *runningTasks
	// gate counts the tasks in flight and is closed when the agent leaves.
	gate *process.Gate
	// evacuated reports whether the agent's data centre is evacuated.
	evacuated func() bool
	registry  *backend.Registry
	runner    *backend.Runner
	log       *slog.Logger
	metrics   *metric.Registry
}

// New returns an agent that uses the given follower, replica and runner.
func New(follower *membership.Follower, replica *ledger.Replica, runner *backend.Runner, log *slog.Logger, metrics *metric.Registry) *Agent {
	self := follower.Member().GetIncarnation()
	slots := slot.New(self)
	return &Agent{
		follower:     follower,
		replica:      replica,
		slots:        slots,
		tasks:        task.New(self, follower, metrics.Scope()),
		runningTasks: newRunningTasks(),
		gate:         process.NewGate(),
		evacuated: func() bool {
			return follower.Directory().IsEvacuated(follower.Member().GetDataCentre())
		},
		registry: backend.New(slots, metrics.Scope(), log),
		runner:   runner,
		log:      log,
		metrics:  metrics,
	}
}

// Handler returns the handler for the other processes of the system.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(a, a.metrics.Hooks()))
	mux.Handle(wire.LedgerPathPrefix, wire.NewLedgerServer(a.replica, a.metrics.Hooks()))
	mux.Handle("GET /metrics", a.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", a.ready)
	mux.HandleFunc("GET "+StatusPath, a.serveStatus)
	return mux
}

// AnnounceHandler returns the handler for the worker's backend servers.
func (a *Agent) AnnounceHandler() http.Handler {
	return a.registry.Handler()
}

// Claim implements wire.Agent.
func (a *Agent) Claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return a.slots.Claim(q), nil
}

// Ask implements wire.Agent.
func (a *Agent) Ask(ctx context.Context, q *wire.AskRequest) (*wire.AskReply, error) {
	return a.tasks.Ask(ctx, q), nil
}

// Cancel implements wire.Agent.
func (a *Agent) Cancel(_ context.Context, q *wire.CancelRequest) (*wire.CancelReply, error) {
	a.tasks.Cancel(q)
	a.runningTasks.cancel(q)
	return &wire.CancelReply{}, nil
}

// Fence implements wire.Agent.
func (a *Agent) Fence(_ context.Context, q *wire.FenceRequest) (*wire.FenceReply, error) {
	return a.tasks.Fence(q), nil
}

// Forget implements wire.Agent.
func (a *Agent) Forget(_ context.Context, q *wire.ForgetRequest) (*wire.ForgetReply, error) {
	a.tasks.Forget(q)
	return &wire.ForgetReply{}, nil
}

func (a *Agent) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case a.gate.Closed():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !a.follower.Current():
		http.Error(w, "no lease from the control group", http.StatusServiceUnavailable)
	}
}
