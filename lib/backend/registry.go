// Package backend knows the backend servers of one worker and runs tasks on
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
	// SilenceTimeout is how long a backend server may go without announcing
	// itself before its slots are closed.
	SilenceTimeout = 3 * time.Second
	// sweepInterval is how often silent servers are looked for.
	sweepInterval = 500 * time.Millisecond
)

// Slots is told which backend servers may get work.
type Slots interface {
	// Open offers n slots of a server. It does nothing for an open server.
	Open(server, service string, n int)
	// Close withdraws the slots of a server. Tasks that run there go on.
	Close(server string)
}

// server is a backend server that announced itself.
type server struct {
	announcement Announcement
	heardAt      time.Time
}

// Registry holds the backend servers that announced themselves.
type Registry struct {
	slots Slots
	scope tally.Scope
	log   *slog.Logger

	mu      sync.Mutex
	servers map[string]server
	leaving bool
}

// New returns an empty registry that opens and closes slots. Run keeps it.
func New(slots Slots, scope tally.Scope, log *slog.Logger) *Registry {
	return &Registry{slots: slots, scope: scope, log: log, servers: map[string]server{}}
}

// Handler serves the backend servers of the worker.
func (g *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/backendServers/{id}", g.announce)
	mux.HandleFunc("DELETE /v1/backendServers/{id}", g.remove)
	return mux
}

// Run closes the slots of silent servers until ctx ends.
func (g *Registry) Run(ctx context.Context) {
	g.loop(ctx)
}

// Leave closes the slots of all servers and refuses further announcements.
func (g *Registry) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	for id := range g.servers {
		g.slots.Close(id)
	}
}

// URL returns where the tasks of a backend server go. It stays known while
// tasks that were given to the server may still have to reach it.
func (g *Registry) URL(id string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.servers[id].announcement.URL
}

func (g *Registry) loop(ctx context.Context) {
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

// sweep closes the slots of servers that went silent.
func (g *Registry) sweep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, s := range g.servers {
		if now.Sub(s.heardAt) < SilenceTimeout {
			continue
		}
		g.drop(id, "silent")
	}
}

func (g *Registry) announce(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a, field, err := readAnnouncement(id, http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		g.scope.Counter("announcement_refused_badField").Inc(1)
		problem(w, http.StatusBadRequest, "badField", field, field+": "+err.Error())
		return
	}
	if !g.take(id, a) {
		g.scope.Counter("announcement_refused_agentLeaving").Inc(1)
		problem(w, http.StatusServiceUnavailable, "agentLeaving", "", "the agent is leaving")
	}
}

// take puts an announcement into force. It returns false where the agent takes
// none any more.
func (g *Registry) take(id string, a Announcement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.Leaving {
		g.drop(id, "left")
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
		g.log.Info("A backend server came.", "server", id, "service", a.Service, "slots", a.Slots)
	}
	g.servers[id] = server{announcement: a, heardAt: time.Now()}
	g.slots.Open(id, a.Service, a.Slots)
	return true
}

func (g *Registry) remove(_ http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drop(r.PathValue("id"), "left")
}

// drop forgets a server; its slots get no new work.
func (g *Registry) drop(id, reason string) {
	if _, known := g.servers[id]; !known {
		return
	}
	g.slots.Close(id)
	delete(g.servers, id)
	g.scope.Counter("backend_server_" + reason).Inc(1)
	g.log.Info("A backend server gets no new work.", "server", id, "reason", reason)
}

// problemBody is a problem document of RFC 9457.
type problemBody struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Reason string `json:"reason"`
	Field  string `json:"field,omitempty"`
}

func problem(w http.ResponseWriter, status int, reason, field, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problemBody{
		Title: http.StatusText(status), Status: status, Detail: detail, Reason: reason, Field: field,
	})
}
