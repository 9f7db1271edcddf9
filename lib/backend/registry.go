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

// Registry holds the backend servers that announce themselves to the agent.
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
func (reg *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/backendServers/{id}", reg.announce)
	mux.HandleFunc("DELETE /v1/backendServers/{id}", reg.deregister)
	return mux
}

// Run removes silent servers until ctx ends.
func (reg *Registry) Run(ctx context.Context) {
	reg.sweepLoop(ctx)
}

// Leave closes the slots of all servers and rejects further announcements.
func (reg *Registry) Leave() {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.leaving = true
	for id := range reg.servers {
		reg.slots.Close(id)
	}
}

// URL returns the URL for tasks of a backend server. Leave does not remove it,
// because tasks already assigned to the server may still have to be sent.
func (reg *Registry) URL(id string) string {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	return reg.servers[id].announcement.URL
}

func (reg *Registry) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			reg.sweep(now)
		}
	}
}

// sweep removes servers whose last announcement is older than SilenceTimeout.
func (reg *Registry) sweep(now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for id, s := range reg.servers {
		if now.Sub(s.announcedAt) < SilenceTimeout {
			continue
		}
		reg.remove(id, "silent")
	}
}

func (reg *Registry) announce(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	a, field, err := readAnnouncement(id, http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	if err != nil {
		reg.scope.Counter("announcement_refused_badField").Inc(1)
		writeProblem(w, http.StatusBadRequest, "badField", field, field+": "+err.Error())
		return
	}
	if !reg.register(id, a) {
		reg.scope.Counter("announcement_refused_agentLeaving").Inc(1)
		writeProblem(w, http.StatusServiceUnavailable, "agentLeaving", "", "the agent is leaving")
	}
}

// register applies an announcement. It returns false if the agent is leaving
// and accepts none.
func (reg *Registry) register(id string, a Announcement) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if a.Leaving {
		reg.remove(id, "left")
		return true
	}
	if reg.leaving {
		return false
	}
	old, known := reg.servers[id]
	if known && (old.announcement.Service != a.Service || old.announcement.Slots != a.Slots) {
		reg.slots.Close(id)
	}
	if !known {
		reg.log.Info("Backend server registered.", "server", id, "service", a.Service, "slots", a.Slots)
	}
	reg.servers[id] = server{announcement: a, announcedAt: time.Now()}
	reg.slots.Open(id, a.Service, a.Slots)
	return true
}

func (reg *Registry) deregister(_ http.ResponseWriter, r *http.Request) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.remove(r.PathValue("id"), "left")
}

// remove removes a server; it gets no new work.
func (reg *Registry) remove(id, reason string) {
	if _, known := reg.servers[id]; !known {
		return
	}
	reg.slots.Close(id)
	delete(reg.servers, id)
	reg.scope.Counter("backend_server_" + reason).Inc(1)
	reg.log.Info("Backend server removed; it gets no new work.", "server", id, "reason", reason)
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
