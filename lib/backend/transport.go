package backend

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// maxConnections limits the connections to one backend server.
	maxConnections = 64
	dialTimeout    = time.Second
	// idleTimeout closes idle connections before backend servers do, because a
	// request sent on a connection that the server is closing fails its task.
	idleTimeout = time.Second
)

// NewClient returns the HTTP client for tasks. It never sends a request twice:
// it follows no redirect, speaks HTTP/1.1 only, and a POST without GetBody and
// without an Idempotency-Key header is not replayed by net/http.
func NewClient() *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn}, nil
			},
			MaxConnsPerHost:     maxConnections,
			MaxIdleConnsPerHost: maxConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			Protocols:           &protocols,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// countingConn counts the bytes written, to tell a request of which nothing was
// sent from one that may have arrived.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}
