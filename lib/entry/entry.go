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
	}
}

// Run works until ctx ends. It then takes no new work and returns once the jobs
// at hand are done, or the time for a graceful shutdown is over.
func (e *Entry) Run(ctx context.Context) {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	keep := &keeper{d: e.dispatcher}
	go keep.loop(life)
	go e.run(life)
	<-ctx.Done()
	e.drain(life)
}

// run belongs to the system until ctx ends.
func (e *Entry) run(ctx context.Context) { e.follower.Run(ctx) }

// drain announces that this entry leaves and waits for its jobs.
func (e *Entry) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, process.ShutdownTimeout)
	defer cancel()
	drained := e.dispatcher.drain()
	e.follower.Leave(ctx)
	select {
	case <-drained:
	case <-ctx.Done():
		e.log.Warn("Jobs are still running at the end of the shutdown time.")
	}
	e.dispatcher.giveBack(ctx)
}

// Handler serves callers.
func (e *Entry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/jobs", e.submit)
	mux.HandleFunc("GET /v1/jobs/{key}", e.show)
	mux.HandleFunc("GET /v1/admin/status", e.status)
	mux.Handle(wire.EntryPathPrefix, wire.NewEntryServer(e))
	mux.Handle("/metrics", e.metrics.Handler())
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/readyz", e.ready)
	return mux
}

func (e *Entry) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !e.follower.Current():
		http.Error(w, "no lease from the control group", http.StatusServiceUnavailable)
	case e.dispatcher.draining():
		http.Error(w, "shutting down", http.StatusServiceUnavailable)
	}
}
