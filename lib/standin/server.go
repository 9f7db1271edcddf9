// Package standin simulates a backend server for tests. The server announces
// itself to an agent, runs tasks by waiting for their run time, and records every
// start.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

// maxConnections is the default of Options.Connections.
const maxConnections = 64

// Options configure a simulated backend server.
type Options struct {
	ID      string
	Service string
	// Agent is the agent's address for announcements, host:port.
	Agent string
	Slots int
	// Speed divides the run times given in the payloads; 0 means 1.
	Speed float64
	// Connections limits the concurrent connections; 0 means 64.
	Connections int
	// FailAll makes every task fail at once with status 500.
	FailAll bool
	// StragglerFactor multiplies the run time of every StragglerInterval-th task; with
	// StragglerInterval 0 it has no effect.
	StragglerFactor   float64
	StragglerInterval int
	// WarmUp is added to the run times of tasks that arrive within WarmUp after
	// New.
	WarmUp time.Duration
	// Delay simulates network latency: it is waited once before and once after each
	// task.
	Delay time.Duration
	// Quiet makes the server only count the starts; Starts then returns none.
	Quiet bool
}

// Server is a simulated backend server.
type Server struct {
	options   Options
	listener  net.Listener
	server    *http.Server
	client    *http.Client
	startedAt time.Time
	leaving   atomic.Bool
	crashed   atomic.Bool
	log       startLog
}

// New returns a server that listens on a loopback port chosen by the kernel.
func New(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if options.Connections == 0 {
		options.Connections = maxConnections
	}
	if options.Speed == 0 {
		options.Speed = 1
	}
	s := &Server{
		options:   options,
		listener:  netutil.LimitListener(listener, options.Connections),
		client:    &http.Client{Timeout: time.Second},
		startedAt: time.Now(),
		log:       startLog{countOnly: options.Quiet},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", s.handle)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return s, nil
}

// Run serves and announces the server until ctx ends. It then deregisters the
// server and closes it.
func (s *Server) Run(ctx context.Context) {
	go s.serve()
	s.announceLoop(ctx)
	s.deregister(context.WithoutCancel(ctx))
	_ = s.server.Close()
}

// Leave announces that the server is leaving. It still runs tasks that the agent
// sends.
func (s *Server) Leave(ctx context.Context) {
	s.leaving.Store(true)
	s.announce(ctx)
}

// Close ends the server as a crash would: connections are closed and the agent
// is not told.
func (s *Server) Close() {
	s.crashed.Store(true)
	_ = s.server.Close()
}

// Starts returns all recorded starts, in order.
func (s *Server) Starts() []Start {
	return s.log.starts()
}

// Count returns the number of starts so far.
func (s *Server) Count() int {
	return s.log.count()
}

func (s *Server) serve() {
	_ = s.server.Serve(s.listener)
}
