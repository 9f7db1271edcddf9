// Package link gives every host its own HTTP connection pool, so that after a
// failed call no idle connection to that host is reused.
package link

import (
	"net/http"
	"sync"
)

// Client returns a client like the given one. After a call to a host has failed
// or timed out, the idle connections to that host are closed, so that the next
// call opens a new connection. A client whose transport is not an
// *http.Transport is returned unchanged.
func Client(client *http.Client) *http.Client {
	base, ok := client.Transport.(*http.Transport)
	if !ok {
		return client
	}
	return &http.Client{Transport: &transport{base: base, pools: map[string]*http.Transport{}}, Timeout: client.Timeout}
}

// maxPools limits the number of connection pools.
const maxPools = 1024

// transport is a RoundTripper with one http.Transport per host, each of which has
// a connection pool of its own.
type transport struct {
	base *http.Transport

	mu    sync.Mutex
	pools map[string]*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	pool := t.pool(r.URL.Host)
	response, err := pool.RoundTrip(r)
	if err != nil {
		pool.CloseIdleConnections()
	}
	return response, err
}

// pool returns the transport for a host.
func (t *transport) pool(address string) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := t.pools[address]
	if pool == nil {
		if len(t.pools) >= maxPools {
			t.reset()
		}
		pool = t.base.Clone()
		t.pools[address] = pool
	}
	return pool
}

// reset discards all pools. Connections in use are closed after their calls.
func (t *transport) reset() {
	for _, pool := range t.pools {
		pool.CloseIdleConnections()
	}
	clear(t.pools)
}
