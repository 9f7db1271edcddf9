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
	registry *backend.Registry
	runner   *backend.Runner
	log      *slog.Logger
	metrics  *metric.Registry
}

// New returns an agent.
func New(follower *membership.Follower, replica *ledger.Replica, runner *backend.Runner, log *slog.Logger, metrics *metric.Registry) *Agent {
	self := follower.Member().GetIncarnation()
	book := slot.New(self)
	return &Agent{
		follower: follower,
		replica:  replica,
		book:     book,
		table:    task.New(self),
		registry: backend.New(book),
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
	mux.Handle("/metrics", a.metrics.Handler())
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// AnnounceHandler serves the backend servers of the worker.
func (a *Agent) AnnounceHandler() http.Handler {
	return a.registry.Handler()
}

// Book returns the book of the worker's slots.
func (a *Agent) Book() *slot.Book { return a.book }

// Claim implements wire.Agent.
func (a *Agent) Claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return a.book.Claim(q), nil
}

// Start implements wire.Agent. The task goes on where the caller is lost.
func (a *Agent) Start(ctx context.Context, q *wire.StartRequest) (*wire.StartReply, error) {
	server, token, ok := a.slot(ctx, q)
	if !ok {
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: "voidToken"}, nil
	}
	reply := a.table.Begin(q)
	if reply == nil {
		reply = a.runner.Run(context.WithoutCancel(ctx), a.registry.URL(server), q)
		a.table.End(q, reply)
	}
	reply.Token = a.book.Return(q.GetCoordinator(), token)
	return reply, nil
}

// slot takes the slot for a start: that of its token, or the next free one
// where it has none. It returns the backend server and the token's number.
func (a *Agent) slot(ctx context.Context, q *wire.StartRequest) (string, uint64, bool) {
	if q.GetToken() == 0 {
		return a.book.Enter(ctx, q.GetCoordinator(), q.GetService())
	}
	server, ok := a.book.Take(q.GetCoordinator(), q.GetToken())
	return server, q.GetToken(), ok
}

// Ask implements wire.Agent.
func (a *Agent) Ask(_ context.Context, q *wire.AskRequest) (*wire.AskReply, error) {
	return a.table.Ask(q), nil
}

// Cancel implements wire.Agent.
func (a *Agent) Cancel(_ context.Context, q *wire.CancelRequest) (*wire.CancelReply, error) {
	a.table.Cancel(q)
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
