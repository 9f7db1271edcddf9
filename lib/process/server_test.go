package process

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// TestRequestDuringShutdown guards against a request that is read whole and then
// gets no answer, because it arrives on an open connection while the server
// waits for the requests in flight.
func TestRequestDuringShutdown(t *testing.T) {
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	inFlight, release := make(chan struct{}), make(chan struct{})
	server := New(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			close(inFlight)
			<-release
		}
	}), slog.New(slog.DiscardHandler))
	second, err := net.Dial("tcp", server.Address())
	is.NoErr(err)
	first, err := net.Dial("tcp", server.Address())
	is.NoErr(err)
	_, err = first.Write([]byte("GET /first HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	<-inFlight
	down := make(chan error, 1)
	go func() { down <- server.Shutdown(t.Context()) }()
	for {
		other, err := net.Dial("tcp", server.Address())
		if err != nil {
			break // the shutdown has begun
		}
		other.Close()
		time.Sleep(time.Millisecond)
	}
	_, err = second.Write([]byte("GET /second HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	is.NoErr(second.SetReadDeadline(time.Now().Add(10 * time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	close(release)
	is.NoErr(<-down)
	is.NoErr(err) // the second request is answered
	response.Body.Close()
	is.True(response.Close) // and says that the connection closes
	response, err = http.ReadResponse(bufio.NewReader(first), nil)
	is.NoErr(err)
	response.Body.Close()
	is.True(response.Close) // so does the one that was in flight
}

// TestShutdownWithQuietConnections guards against a shutdown that callers hold up
// by connections on which they never send again.
func TestShutdownWithQuietConnections(t *testing.T) {
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	server := New(listener, http.NotFoundHandler(), slog.New(slog.DiscardHandler))
	unused, err := net.Dial("tcp", server.Address())
	is.NoErr(err)
	defer unused.Close()
	idle, err := net.Dial("tcp", server.Address())
	is.NoErr(err)
	defer idle.Close()
	_, err = idle.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(idle), nil)
	is.NoErr(err)
	response.Body.Close()
	is.True(!response.Close)
	began := time.Now()
	is.NoErr(server.Shutdown(t.Context()))
	is.True(time.Since(began) < 3*time.Second)
}

// TestListenWithoutAddress guards against a process that listens at a port of the
// kernel's choice on all addresses, because its settings name none.
func TestListenWithoutAddress(t *testing.T) {
	for _, address := range []string{"", ":7000", "localhost:7000", "127.0.0.1"} {
		_, err := Listen(address)
		var e *Error
		is.New(t).True(errors.As(err, &e))
		is.New(t).Equal(e.Kind, KindAddress)
	}
}

// TestShutdownEndsRequests guards against requests in flight that get no answer, as the
// time for the shutdown is over and nothing tells their handlers.
func TestShutdownEndsRequests(t *testing.T) {
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	inFlight := make(chan struct{})
	server := New(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(inFlight)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	}), slog.New(slog.DiscardHandler))
	c, err := net.Dial("tcp", server.Address())
	is.NoErr(err)
	defer c.Close()
	_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	<-inFlight
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	err = server.Shutdown(ctx)
	server.Close()
	is.True(err != nil) // it took too long
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Close)
}

// TestShutdownEndsWaitForMemory guards against a request that gets no answer, as it waits
// for memory when the time for the shutdown is over.
func TestShutdownEndsWaitForMemory(t *testing.T) {
	is := is.New(t)
	inFlight, release := make(chan struct{}), make(chan struct{})
	server, limiter := startLimited(t, limitsOf(&wire.ServerLimits{MemoryBytes: minMemoryBytes}), func(w http.ResponseWriter, r *http.Request) {
		if !Reserve(r, minMemoryBytes/2) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		close(inFlight)
		<-release
	})
	defer close(release)
	first, second := dialFar(t, server), dialFar(t, server)
	_, err := first.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	<-inFlight
	_, err = second.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.NoErr(err)
	await(t, "the request waits", func() bool {
		limiter.mu.Lock()
		defer limiter.mu.Unlock()
		return slices.ContainsFunc(limiter.waiting[:], func(queue *list.List) bool { return queue.Len() > 0 })
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	is.True(server.Shutdown(ctx) != nil) // the first request goes on
	_ = server.server.Close()
	response, err := http.ReadResponse(bufio.NewReader(second), nil)
	is.NoErr(err)
	response.Body.Close()
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
}

// TestShutdownTellsRequestsInFlight guards against a shutdown that cuts off requests and
// leaves no trace of how many there were and how long they took.
func TestShutdownTellsRequestsInFlight(t *testing.T) {
	is := is.New(t)
	listener, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	inFlight, release := make(chan struct{}), make(chan struct{})
	server := New(listener, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		inFlight <- struct{}{}
		<-release
	}), slog.New(slog.DiscardHandler))
	defer server.Close()
	defer close(release)
	for range 2 {
		c, err := net.Dial("tcp", server.Address())
		is.NoErr(err)
		defer c.Close()
		_, err = c.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		is.NoErr(err)
		<-inFlight
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	err = server.Shutdown(ctx)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "2 requests still in flight, the oldest for "))
}

// unreadConn returns a connection at a limiter, from which nobody reads, and its client.
func unreadConn(t *testing.T, l *Limiter) (c *limitedConn, client net.Conn) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	client, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { client.Close() })
	inner, err := listener.Accept()
	is.NoErr(err)
	c = l.accept(inner, nil)
	t.Cleanup(func() { c.Close() })
	return c, client
}

// TestUnreadRequestKeepsConnection guards against a request that arrived in time and is cut
// off, as the process closes its quiet connection before it reads it.
func TestUnreadRequestKeepsConnection(t *testing.T) {
	for _, arrived := range []bool{true, false} {
		t.Run(fmt.Sprintf("arrived %v", arrived), func(t *testing.T) {
			is := is.New(t)
			l := newTestLimiter(t, NewLimits(nil))
			c, client := unreadConn(t, l)
			c.used = true
			c.end()
			s := &Server{connections: newConnections()}
			s.connections.set(c, http.StateIdle)
			if arrived {
				_, err := client.Write([]byte("GET / HTTP/1.1\r\n"))
				is.NoErr(err)
				await(t, "the request arrives", c.hasUnread)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*lingerTime)
			defer cancel()
			s.linger(ctx)
			is.Equal(ctx.Err() != nil, arrived) // the shutdown waits for it
			l.sweep(time.Now().Add(2 * l.limits.IdleTimeout))
			is.Equal(c.isClosed(), !arrived)
		})
	}
}
