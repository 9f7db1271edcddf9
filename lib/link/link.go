// Package link keeps the connections between processes apart by host, so that
// one that has gone silent is not used again.
package link

import (
	"net/http"
	"sync"
)

// Client returns a client that calls like the given one. After a call that
// fails, also by its deadline, the next one to that host uses a new connection.
func Client(client *http.Client) *http.Client {
	base, ok := client.Transport.(*http.Transport)
	if !ok {
		return client
	}
	return &http.Client{Transport: &transport{base: base, hosts: map[string]*http.Transport{}}, Timeout: client.Timeout}
}

// maxHosts bounds the hosts whose connections are kept.
const maxHosts = 1024

// transport has one http.Transport for each host.
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
			t.forget()
		}
		host = t.base.Clone()
		t.hosts[address] = host
	}
	return host
}

// forget drops all hosts; connections in use end with their calls.
func (t *transport) forget() {
	for _, host := range t.hosts {
		host.CloseIdleConnections()
	}
	clear(t.hosts)
}
