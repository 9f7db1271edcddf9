// Package standin is a stand-in for a backend server: it announces itself to
// an agent, runs tasks by waiting, and keeps its own list of starts.
package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
)

// maxConnections bounds the connections that a server takes at once, where
// Options.Connections is 0.
const maxConnections = 64

// Options describe one stand-in.
type Options struct {
	ID      string
	Service string
	// Agent is the announce address of the agent, host:port.
	Agent string
	Slots int
	// Speed divides run times; 1 is the declared speed.
	Speed float64
	// Connections bounds the connections taken at once; 0 means 64.
	Connections int
	// FailAll answers every task with status 500, at once.
	FailAll bool
	// Straggle multiplies each StraggleEvery-th run time; 0 means never.
	Straggle      float64
	StraggleEvery int
	// WarmUp is added to run times during the first WarmUp after New.
	WarmUp time.Duration
	// Delay is waited before and after each task, as a network would.
	Delay time.Duration
	// Quiet servers keep no list of starts but only their number.
	Quiet bool
}

// Server is one stand-in backend server.
type Server struct {
	options  Options
	listener net.Listener
	server   *http.Server
	client   *http.Client
	begun    time.Time
	leaving  atomic.Bool
	dead     atomic.Bool
	list     startList
}

// New returns a stand-in that listens on a loopback port from the kernel.
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
		options:  options,
		listener: netutil.LimitListener(listener, options.Connections),
		client:   &http.Client{Timeout: time.Second},
		begun:    time.Now(),
		list:     startList{quiet: options.Quiet},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", s.handle)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return s, nil
}

// Run serves and announces until ctx ends. It then takes no more work, and
// takes itself off the agent's list.
func (s *Server) Run(ctx context.Context) {
	go s.run()
	s.loop(ctx)
	s.withdraw(context.WithoutCancel(ctx))
	_ = s.server.Close()
}

// Leave announces that the server is leaving; it still serves what comes.
func (s *Server) Leave(ctx context.Context) {
	s.leaving.Store(true)
	s.announce(ctx)
}

// Close ends the server at once, as a crash would: connections are cut and the
// agent is told nothing.
func (s *Server) Close() {
	s.dead.Store(true)
	_ = s.server.Close()
}

// Starts returns every start so far, in order.
func (s *Server) Starts() []Start {
	return s.list.starts()
}

// Count returns the number of starts so far.
func (s *Server) Count() int {
	return s.list.count()
}

func (s *Server) run() {
	_ = s.server.Serve(s.listener)
}
