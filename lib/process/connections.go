package process

import (
	"net"
	"net/http"
	"sync"
)

// connections holds the state of a server's open connections.
type connections struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

func newConnections() *connections {
	return &connections{states: map[net.Conn]http.ConnState{}}
}

// set records the new state of a connection. It is the server's ConnState hook.
func (c *connections) set(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.states, conn)
	default:
		c.states[conn] = state
	}
}

// count returns the number of connections with requests in flight, and of those
// without.
func (c *connections) count() (busy, quiet int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, state := range c.states {
		if state == http.StateActive {
			busy++
		}
	}
	return busy, len(c.states) - busy
}

// closeUnused closes the connections that have never carried a request.
func (c *connections) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state == http.StateNew {
			_ = conn.Close()
		}
	}
}
