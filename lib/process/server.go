package process

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// ShutdownTimeout bounds how long a graceful shutdown waits for requests in
// flight.
const ShutdownTimeout = 60 * time.Second

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Server is an HTTP server on one address. It speaks HTTP/1.1 and unencrypted
// HTTP/2.
type Server struct {
	listener net.Listener
	server   *http.Server
	log      *slog.Logger
	done     chan struct{}
}

// Listen listens on address, an IP and a port. For port 0 the kernel chooses a
// free port.
func Listen(address string) (net.Listener, error) {
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
// stops.
func New(listener net.Listener, h http.Handler, log *slog.Logger) *Server {
	s := &Server{
		listener: listener,
		server:   &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, Protocols: Protocols()},
		log:      log,
		done:     make(chan struct{}),
	}
	go s.run()
	return s
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Shutdown stops accepting connections and waits for requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ShutdownTimeout)
	defer cancel()
	if err := s.server.Shutdown(ctx); err != nil {
		return &Error{Op: "shutdown", Kind: KindTimeout, Err: eris.Wrap(err, "requests still in flight")}
	}
	<-s.done
	return nil
}

// Close closes all connections immediately.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}

func (s *Server) run() {
	defer close(s.done)
	err := s.server.Serve(s.listener)
	if !errors.Is(err, http.ErrServerClosed) {
		s.log.Error("The HTTP server stopped unexpectedly.", "error", err)
	}
}

// Protocols returns the HTTP versions used between processes.
func Protocols() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &p
}
