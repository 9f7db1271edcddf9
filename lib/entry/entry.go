// Package entry implements the entry role: it accepts job submissions from
// callers, coordinates the jobs and returns their outcomes.
package entry

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/wire"
)

// Entry is one entry. It implements wire.Entry.
type Entry struct {
	follower     *membership.Follower
	ledger       *ledger.Client
	dispatcher   *dispatcher
	log          *slog.Logger
	metrics      *metric.Registry
	limits       *wire.EntryLimits
	gate         *process.Gate
	client       *http.Client
	jobs         *jobs
	agentHistory *agentHistory
	// retryAfter is the delay that callers of refused submissions are told.
	retryAfter tally.Histogram
}

// New returns an entry; call Run to start its background work.
func New(follower *membership.Follower, records *ledger.Client, client *http.Client, limits *wire.EntryLimits, policy placement.Policy, log *slog.Logger, metrics *metric.Registry) *Entry {
	return &Entry{
		follower:     follower,
		ledger:       records,
		dispatcher:   newDispatcher(follower, client, policy, log, metrics.Scope()),
		log:          log,
		metrics:      metrics,
		limits:       limits,
		gate:         process.NewGate(),
		client:       client,
		jobs:         newJobs(),
		agentHistory: newAgentHistory(follower),
		retryAfter:   metric.NewDurationHistogram(metrics.Scope(), "retry_after"),
	}
}

// Run does the entry's background work until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	renewer := &leaseRenewer{d: e.dispatcher}
	go renewer.loop(ctx)
	go e.agentHistory.loop(ctx)
	e.follower.Run(ctx)
}

// Handler returns the HTTP handler for callers, operators and other hosts.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/jobs", e.submit)
	mux.HandleFunc("GET /v1/jobs/{key}", e.show)
	mux.HandleFunc("DELETE /v1/jobs/{key}", e.cancel)
	mux.HandleFunc("GET /v1/admin/status", e.status)
	mux.Handle(wire.EntryPathPrefix, wire.NewEntryServer(e, e.metrics.Hooks()))
	mux.Handle("/metrics", e.metrics.Handler())
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", e.ready)
	return process.CloseConnections(e.gate.Closed, mux)
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.gate.Closed():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.follower.Current():
		http.Error(w, "no valid lease from the control group", http.StatusServiceUnavailable)
	}
}
