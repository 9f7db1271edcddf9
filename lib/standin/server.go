// Package standin is a stand-in for a backend server: it announces itself to
// an agent, runs tasks by waiting, and keeps its own list of starts.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// announceInterval is how often the server announces itself.
const announceInterval = 500 * time.Millisecond

// Options describe one stand-in.
type Options struct {
	ID      string
	Service string
	// Agent is the announce address of the agent, host:port.
	Agent string
	Slots int
	// Speed divides run times; 1 is the declared speed.
	Speed float64
}

// Start is one start as the server saw it.
type Start struct {
	Job  string `json:"job"`
	Task string `json:"task"`
}

// Server is one stand-in backend server.
type Server struct {
	options  Options
	listener net.Listener
	server   *http.Server
	client   *http.Client

	mu     sync.Mutex
	starts []Start
}

// New returns a stand-in that listens on a loopback port from the kernel.
func New(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{options: options, listener: listener, client: &http.Client{Timeout: time.Second}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run", s.handle)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	return s, nil
}

// Run serves and announces until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.loop(ctx)
	go s.run()
	<-ctx.Done()
	_ = s.server.Close()
}

// Starts returns every start so far, in order.
func (s *Server) Starts() []Start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Start(nil), s.starts...)
}

// payload is what a stand-in's tasks carry.
type payload struct {
	RunMillis float64 `json:"runMillis"`
	Value     any     `json:"value"`
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.starts = append(s.starts, Start{Job: r.Header.Get("Skylarklane-Job"), Task: r.Header.Get("Skylarklane-Task")})
	s.mu.Unlock()
	var p payload
	body, _ := io.ReadAll(r.Body)
	_ = json.Unmarshal(body, &p)
	select {
	case <-time.After(time.Duration(p.RunMillis / s.options.Speed * float64(time.Millisecond))):
	case <-r.Context().Done():
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"value": p.Value, "by": s.options.ID})
}

func (s *Server) loop(ctx context.Context) {
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
	body := fmt.Sprintf(`{"service":%q,"url":"http://%s/run","slots":%d,"leaving":false}`, s.options.Service, s.listener.Addr(), s.options.Slots)
	url := "http://" + s.options.Agent + "/v1/backendServers/" + s.options.ID
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	response, err := s.client.Do(r)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

func (s *Server) run() {
	_ = s.server.Serve(s.listener)
}
