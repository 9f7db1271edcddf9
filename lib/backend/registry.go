// Package backend registers the backend servers of one worker and runs tasks on
// them.
package backend

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// SilenceTimeout is the time without an announcement after which a backend
	// server is removed.
	SilenceTimeout = 3 * time.Second
	// sweepInterval is how often silent servers are removed.
	sweepInterval = 500 * time.Millisecond
)

// Slots receives the slots of the backend servers that may get work.
type Slots interface {
	// Open offers n slots of a server. It does nothing if the server is already
	// open.
	Open(server, service string, n int)
	// Close withdraws the slots of a server. Its running tasks continue.
	Close(server string)
}

// server is a registered backend server.
type server struct {
	announcement Announcement
	announcedAt  time.Time
}

// Registry holds the backend servers that are announcing themselves.
type Registry struct {
	slots Slots
	scope tally.Scope
	log   *slog.Logger

	mu      sync.Mutex
	servers map[string]server
	leaving bool
}

// New returns an empty registry that opens and closes slots. Run must be called
// to remove silent servers.
func New(slots Slots, scope tally.Scope, log *slog.Logger) *Registry {
	return &Registry{slots: slots, scope: scope, log: log, servers: map[string]server{}}
}

// Handler returns the handler for the worker's backend servers.
func (g *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/backendServers/{id}", g.announce)
	mux.HandleFunc("DELETE /v1/backendServers/{id}", g.deregister)
	return mux
}

// Run removes silent servers until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	g.sweepLoop(ctx)
}

// Leave closes the slots of all servers and rejects further announcements.
func (g *Registry) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	for id := range g.servers {
		g.slots.Close(id)
	}
}

// URL returns the URL for tasks of a backend server. Leave does not remove it,
// because tasks already assigned to the server may still have to be sent.
func (g *Registry) URL(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].announcement.URL
}

func (g *Registry) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			g.sweep(now)
		}
	}
}

// sweep removes servers that have not announced themselves within
// SilenceTimeout.
func (g *Registry) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, s := range g.servers {
		if now.Sub(s.announcedAt) < SilenceTimeout {
			continue
		}
		g.remove(id, "silent")
	}
}

func (g *Registry) announce(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a, field, err := readAnnouncement(id, http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		g.scope.Counter("announcement_refused_badField").Inc(1)
		writeProblem(w, http.StatusBadRequest, "badField", field, field+": "+err.Error())
		return
	}
	if !g.register(id, a) {
		g.scope.Counter("announcement_refused_agentLeaving").Inc(1)
		writeProblem(w, http.StatusServiceUnavailable, "agentLeaving", "", "the agent is leaving")
	}
}

// register applies an announcement. It returns false if the agent is leaving
// and accepts none.
func (g *Registry) register(id string, a Announcement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Leaving {
		g.remove(id, "left")
		return true
	}
	if g.leaving {
		return false
	}
	old, known := g.servers[id]
	if known && (old.announcement.Service != a.Service || old.announcement.Slots != a.Slots) {
		g.slots.Close(id)
	}
	if !known {
		g.log.Info("Backend server registered.", "server", id, "service", a.Service, "slots", a.Slots)
	}
	g.servers[id] = server{announcement: a, announcedAt: time.Now()}
	g.slots.Open(id, a.Service, a.Slots)
	return true
}

func (g *Registry) deregister(_ http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(r.PathValue("id"), "left")
}

// remove removes a server; it gets no new work.
func (g *Registry) remove(id, reason string) {
	if _, known := g.servers[id]; !known {
		return
	}
	g.slots.Close(id)
	delete(g.servers, id)
	g.scope.Counter("backend_server_" + reason).Inc(1)
	g.log.Info("Backend server removed; it gets no new work.", "server", id, "reason", reason)
}

// problemBody is a problem document of RFC 9457.
type problemBody struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"reason"`
	Field  string `json:"field,omitempty"`
}

func writeProblem(w http.ResponseWriter, status int, reason, field, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problemBody{
		Title: http.StatusText(status), Status: status, Detail: detail, Reason: reason, Field: field,
	})
}
