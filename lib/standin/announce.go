package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announceInterval is the interval between announcements.
const announceInterval = 500 * time.Millisecond

// announcement is the body of a server's announcement to its agent.
type announcement struct {
	Service string `json:"service"`
	URL     string `json:"url"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

func (s *Server) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) announce(ctx context.Context) {
	body, _ := json.Marshal(announcement{
		Service: s.options.Service,
		URL:     "http://" + s.listener.Addr().String() + "/run",
		Slots:   s.options.Slots,
		Leaving: s.leaving.Load(),
	})
	s.callAgent(ctx, http.MethodPut, body)
}

// deregister deregisters the server at the agent.
func (s *Server) deregister(ctx context.Context) {
	s.callAgent(ctx, http.MethodDelete, nil)
}

// callAgent sends a request to the agent. It ignores errors: announcements are
// repeated, and the agent removes a server that stops announcing itself.
func (s *Server) callAgent(ctx context.Context, method string, body []byte) {
	if s.crashed.Load() {
		return
	}
	url := "http://" + s.options.Agent + "/v1/backendServers/" + s.options.ID
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := s.client.Do(r)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}
