// Package entry is the role that takes submissions from callers, coordinates
// their jobs and answers.
package entry

import (
	"context"
	"log/slog"
	"net/http"

	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/wire"
)

// Entry is one entry host.
type Entry struct {
	follower   *membership.Follower
	ledger     *ledger.Client
	dispatcher *dispatcher
	log        *slog.Logger
	metrics    *metric.Registry
	limits     *wire.EntryLimits
	gate       *process.Gate
	client     *http.Client
	jobs       *jobs
	census     *census
}

// New returns an entry.
func New(follower *membership.Follower, records *ledger.Client, client *http.Client, limits *wire.EntryLimits, policy placement.Policy, log *slog.Logger, metrics *metric.Registry) *Entry {
	return &Entry{
		follower:   follower,
		ledger:     records,
		dispatcher: newDispatcher(follower, client, policy, log, metrics.Scope()),
		log:        log,
		metrics:    metrics,
		limits:     limits,
		gate:       process.NewGate(),
		client:     client,
		jobs:       newJobs(),
		census:     newCensus(follower),
	}
}

// Run works until ctx ends.
func (e *Entry) Run(ctx context.Context) {
	keep := &keeper{d: e.dispatcher}
	go keep.loop(ctx)
	go e.census.loop(ctx)
	e.follower.Run(ctx)
}

// Handler serves callers.
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
	return process.CloseConnections(e.gate, mux)
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.gate.Closed():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !e.follower.Current():
		http.Error(w, "no lease from the control group", http.StatusServiceUnavailable)
	}
}
