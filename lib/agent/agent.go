// Package agent is the role that runs beside backend servers on a worker: they
// announce themselves to it, and it runs tasks on them and keeps a part of the
// ledger.
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

// Agent serves one worker.
type Agent struct {
	follower *membership.Follower
	replica  *ledger.Replica
	book     *slot.Book
	table    *task.Table
	running  *running
	gate     *process.Gate
	registry *backend.Registry
	runner   *backend.Runner
	log      *slog.Logger
	metrics  *metric.Registry
}

// New returns an agent. Run keeps it.
func New(follower *membership.Follower, replica *ledger.Replica, runner *backend.Runner, log *slog.Logger, metrics *metric.Registry) *Agent {
	self := follower.Member().GetIncarnation()
	book := slot.New(self)
	return &Agent{
		follower: follower,
		replica:  replica,
		book:     book,
		table:    task.New(self, follower, metrics.Scope()),
		running:  newRunning(),
		gate:     process.NewGate(),
		registry: backend.New(book, metrics.Scope(), log),
		runner:   runner,
		log:      log,
		metrics:  metrics,
	}
}

// Handler serves the other processes of the system.
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

// AnnounceHandler serves the backend servers of the worker.
func (a *Agent) AnnounceHandler() http.Handler {
	return a.registry.Handler()
}

// Claim implements wire.Agent.
func (a *Agent) Claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return a.book.Claim(q), nil
}

// Ask implements wire.Agent.
func (a *Agent) Ask(ctx context.Context, q *wire.AskRequest) (*wire.AskReply, error) {
	return a.table.Ask(ctx, q), nil
}

// Cancel implements wire.Agent.
func (a *Agent) Cancel(_ context.Context, q *wire.CancelRequest) (*wire.CancelReply, error) {
	a.table.Cancel(q)
	a.running.cancel(q)
	return &wire.CancelReply{}, nil
}

// Fence implements wire.Agent.
func (a *Agent) Fence(_ context.Context, q *wire.FenceRequest) (*wire.FenceReply, error) {
	return a.table.Fence(q), nil
}

// Forget implements wire.Agent.
func (a *Agent) Forget(_ context.Context, q *wire.ForgetRequest) (*wire.ForgetReply, error) {
	a.table.Forget(q)
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
