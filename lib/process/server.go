package process

import (
	"context"
	"errors"
	stdlog "log"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
)

// ShutdownTimeout bounds how long a graceful shutdown waits for requests in
// flight.
const ShutdownTimeout = 60 * time.Second

const (
	// lingerTime bounds how long a graceful shutdown waits for requests on
	// connections that carry none.
	lingerTime = 300 * time.Millisecond
	// lingerInterval is how often the connections are checked meanwhile.
	lingerInterval = 5 * time.Millisecond
	// answerTime bounds how long requests have to be answered whose context was ended,
	// as the time for the shutdown is over.
	answerTime = 150 * time.Millisecond
)

// Server is an HTTP server on one address. It speaks HTTP/1.1 only: processes call
// each other by it, and the heads and streams of HTTP/2 would need limits of their own.
type Server struct {
	listener    net.Listener
	server      *http.Server
	connections *connections
	// ownLimiter is nil if the limits are those of the process.
	ownLimiter *Limiter
	log        *slog.Logger
	// endRequests ends the contexts of all requests.
	endRequests context.CancelFunc
	// closing is set once a graceful shutdown has begun.
	closing atomic.Bool
	done    chan struct{}
}

// Listen listens on address, an IP and a port. For port 0 the kernel chooses a
// free port.
func Listen(address string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, &Error{Op: "listen", Kind: KindAddress, Err: eris.Wrapf(err, "cannot listen at %q", address)}
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: KindAddress, Err: eris.Wrap(err, "cannot listen")}
	}
	return listener, nil
}

// Advertised returns the address for other processes: advertise if it is set,
// else the listener's own.
func Advertised(advertise string, listener net.Listener) string {
	if advertise != "" {
		return advertise
	}
	return listener.Addr().String()
}

// New starts a server that serves h on listener and closes listener when it
// stops. It has default limits of its own.
func New(listener net.Listener, h http.Handler, log *slog.Logger) *Server {
	limiter := NewLimiter(NewLimits(nil), nil, log, tally.NoopScope)
	s := newServer(listener, h, limiter, nil, log)
	s.ownLimiter = limiter
	go s.run()
	return s
}

// NewServer is New under the limits of the process, which all its servers share.
func NewServer(listener net.Listener, h http.Handler, limiter *Limiter, log *slog.Logger) *Server {
	return NewServerWithin(listener, h, limiter, nil, log)
}

// NewServerWithin is NewServer with limits of the address.
func NewServerWithin(listener net.Listener, h http.Handler, limiter *Limiter, address *AddressLimits, log *slog.Logger) *Server {
	s := newServer(listener, h, limiter, address, log)
	go s.run()
	return s
}

func newServer(listener net.Listener, h http.Handler, limiter *Limiter, address *AddressLimits, log *slog.Logger) *Server {
	requests, endRequests := context.WithCancel(context.Background())
	s := &Server{
		listener:    &limitedListener{listener, limiter, address, requests.Done()},
		connections: newConnections(),
		log:         log,
		endRequests: endRequests,
		done:        make(chan struct{}),
	}
	s.server = &http.Server{
		Handler:        limiter.handler(CloseConnections(s.closing.Load, h)),
		MaxHeaderBytes: max(limiter.limits.MaxHeadBytes, maxRaisedHeadBytes), // limitedConn refuses larger heads
		Protocols:      Protocols(),
		ConnState:      s.setState,
		BaseContext:    func(net.Listener) context.Context { return requests },
		ConnContext:    withConnection,
		ErrorLog:       stdlog.New(&serverErrors{log: log}, "", 0),
	}
	return s
}

// setState records the new state of a connection. It is the server's ConnState hook.
func (s *Server) setState(conn net.Conn, state http.ConnState) {
	s.connections.set(conn, state)
	c := toLimited(conn)
	switch {
	case c == nil:
	case state == http.StateIdle:
		c.end()
	case state == http.StateActive:
		c.activate()
	}
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown stops accepting connections and waits for requests in flight. Requests
// that arrive meanwhile on open connections are answered, and each answer asks
// the caller to close its connection. Connections without a request are kept for
// lingerTime. When ctx ends, the contexts of the requests in flight are ended, and
// their answers waited for at most answerTime.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ShutdownTimeout)
	defer cancel()
	s.closing.Store(true)
	_ = s.listener.Close()
	<-s.done
	s.linger(ctx)
	s.connections.closeUnused()
	err := s.server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	busy, _ := s.connections.count()
	oldest := s.connections.oldest()
	s.endRequests()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), answerTime)
	defer cancel()
	_ = s.server.Shutdown(last)
	unanswered, _ := s.connections.count()
	return &Error{Op: "shutdown", Kind: KindTimeout, Err: eris.Wrapf(err, "%d requests still in flight, the oldest for %v; %d got no answer", busy, oldest, unanswered)}
}

// linger returns once no requests are in flight and no connection is left that
// may still carry one, or ctx ends.
func (s *Server) linger(ctx context.Context) {
	until := time.Now().Add(lingerTime)
	tick := time.NewTicker(lingerInterval)
	defer tick.Stop()
	for {
		busy, quiet := s.connections.count()
		if busy == 0 && (quiet == 0 || time.Now().After(until) && !s.connections.haveUnread()) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Close closes all connections immediately.
func (s *Server) Close() {
	s.endRequests()
	_ = s.server.Close()
	<-s.done
}

func (s *Server) run() {
	defer close(s.done)
	if s.ownLimiter != nil {
		defer s.ownLimiter.Close()
	}
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) && !s.closing.Load() {
		s.log.Error("The HTTP server stopped unexpectedly.", "error", err)
	}
}

// Protocols returns the HTTP versions used between processes.
func Protocols() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}
