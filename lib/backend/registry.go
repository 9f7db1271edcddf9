// Package backend knows the backend servers of one worker and runs tasks on
// them.
package backend

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 1 << 16

// Announcement is what a backend server says of itself.
type Announcement struct {
	Service string `json:"service"`
	URL     string `json:"url"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// Slots is told which backend servers may get work.
type Slots interface {
	Open(server, service string, n int)
	Close(server string)
}

// Registry holds the backend servers that announced themselves.
type Registry struct {
	slots Slots

	mu      sync.Mutex
	servers map[string]Announcement
}

// New returns an empty registry that opens and closes slots.
func New(slots Slots) *Registry {
	return &Registry{slots: slots, servers: map[string]Announcement{}}
}

// Handler serves the backend servers of the worker.
func (g *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/backendServers/{id}", g.announce)
	mux.HandleFunc("DELETE /v1/backendServers/{id}", g.remove)
	return mux
}

// URL returns where the tasks of a backend server go.
func (g *Registry) URL(server string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[server].URL
}

func (g *Registry) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	g.mu.Lock()
	g.servers[id] = a
	g.mu.Unlock()
	if a.Leaving {
		g.slots.Close(id)
		return
	}
	g.slots.Open(id, a.Service, a.Slots)
}

func (g *Registry) remove(_ http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	g.slots.Close(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.servers, id)
}
