// Package link gives every host its own HTTP connection pool, so that after a
// failed call no idle connection to that host is reused.
package link

import (
	"net/http"
	"sync"
)

// Client returns a client like the given one. After a call to a host has failed
// or timed out, the idle connections to that host are closed, so that the next
// call opens a new connection.
func Client(client *http.Client) *http.Client {
	base, ok := client.Transport.(*http.Transport)
	if !ok {
		return client
	}
	return &http.Client{Transport: &transport{base: base, hosts: map[string]*http.Transport{}}, Timeout: client.Timeout}
}

// maxHosts limits the number of connection pools.
const maxHosts = 1024

// transport is a RoundTripper with one http.Transport per host.
type transport struct {
	base *http.Transport

	mu    sync.Mutex
	hosts map[string]*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	host := t.host(r.URL.Host)
	response, err := host.RoundTrip(r)
	if err != nil {
		host.CloseIdleConnections()
	}
	return response, err
}

func (t *transport) host(address string) *http.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	host := t.hosts[address]
	if host == nil {
		if len(t.hosts) >= maxHosts {
			t.reset()
		}
		host = t.base.Clone()
		t.hosts[address] = host
	}
	return host
}

// reset discards all pools. Connections in use are closed after their calls.
func (t *transport) reset() {
	for _, host := range t.hosts {
		host.CloseIdleConnections()
	}
	clear(t.hosts)
}
