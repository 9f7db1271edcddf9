// Package agent is the role that runs beside backend servers on a worker: they
// announce themselves to it, and it runs tasks on them.
package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"time"

	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/wire"
)

// tokenLease is how long an unused token stands.
const tokenLease = 5 * time.Second

// backendServer is one backend server that announced itself.
type backendServer struct {
	Service string `json:"service"`
	URL     string `json:"url"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
}

// Agent serves one worker.
type Agent struct {
	follower *membership.Follower
	replica  *ledger.Replica
	client   *http.Client
	log      *slog.Logger
	metrics  *metric.Registry

	mu      sync.Mutex
	servers map[string]backendServer
	tokens  map[uint64]string
	next    uint64
	started map[string]bool
}

// New returns an agent.
func New(follower *membership.Follower, replica *ledger.Replica, client *http.Client, log *slog.Logger, metrics *metric.Registry) *Agent {
	return &Agent{
		follower: follower,
		replica:  replica,
		client:   client,
		log:      log,
		metrics:  metrics,
		servers:  map[string]backendServer{},
		tokens:   map[uint64]string{},
		started:  map[string]bool{},
	}
}

// Handler serves the other processes of the system.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(a))
	mux.Handle(wire.LedgerPathPrefix, wire.NewLedgerServer(a.replica))
	mux.Handle("/metrics", a.metrics.Handler())
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// AnnounceHandler serves the backend servers of the worker.
func (a *Agent) AnnounceHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/backendServers/{id}", a.announce)
	mux.HandleFunc("DELETE /v1/backendServers/{id}", a.leave)
	return mux
}

func (a *Agent) announce(w http.ResponseWriter, r *http.Request) {
	var server backendServer
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&server); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.PathValue("id")
	if _, known := a.servers[id]; !known {
		for range server.Slots {
			a.next++
			a.tokens[a.next] = id
		}
	}
	a.servers[id] = server
}

func (a *Agent) leave(_ http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.servers, r.PathValue("id"))
}

// Claim implements wire.Agent.
func (a *Agent) Claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply := &wire.ClaimReply{LeaseMillis: tokenLease.Milliseconds()}
	for number, id := range a.tokens {
		server, known := a.servers[id]
		if !known || server.Leaving || len(reply.Tokens) >= int(q.GetMax()) {
			continue
		}
		delete(a.tokens, number)
		reply.Tokens = append(reply.Tokens, a.token(number, id, server))
	}
	return reply, nil
}

// Start implements wire.Agent.
func (a *Agent) Start(ctx context.Context, q *wire.StartRequest) (*wire.StartReply, error) {
	a.mu.Lock()
	id := q.GetJob() + "/" + strconv.Itoa(int(q.GetTask()))
	var server backendServer
	var serverID string
	for key, s := range a.servers {
		if s.Service == q.GetService() {
			server, serverID = s, key
		}
	}
	if a.started[id] || serverID == "" {
		a.mu.Unlock()
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: "noBackendServer"}, nil
	}
	a.started[id] = true
	a.mu.Unlock()
	reply := a.run(ctx, server, q)
	reply.Token = a.token(q.GetToken(), serverID, server)
	return reply, nil
}

func (a *Agent) token(number uint64, id string, server backendServer) *wire.Token {
	return &wire.Token{
		Agent:         a.follower.Member().GetIncarnation(),
		BackendServer: id,
		Service:       server.Service,
		Number:        number,
		LeaseMillis:   tokenLease.Milliseconds(),
	}
}

func (a *Agent) run(ctx context.Context, server backendServer, q *wire.StartRequest) *wire.StartReply {
	begin := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, bytes.NewReader(q.GetPayload()))
	if err != nil {
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_FAILED, Reason: "badUrl"}
	}
	// Without GetBody the transport cannot send a request twice.
	request.GetBody = nil
	request.Header.Set("Skylarklane-Job", q.GetJob())
	request.Header.Set("Skylarklane-Task", strconv.Itoa(int(q.GetTask())))
	response, err := a.client.Do(request)
	if err != nil {
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_FAILED, Reason: "connectionLost"}
	}
	defer response.Body.Close()
	result, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 {
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_FAILED, Reason: "taskFailed"}
	}
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_DONE, Result: result, RunMicros: time.Since(begin).Microseconds()}
}

// Ask implements wire.Agent.
func (a *Agent) Ask(context.Context, *wire.AskRequest) (*wire.AskReply, error) {
	return &wire.AskReply{}, nil
}

// Cancel implements wire.Agent.
func (a *Agent) Cancel(context.Context, *wire.CancelRequest) (*wire.CancelReply, error) {
	return &wire.CancelReply{}, nil
}

// Fence implements wire.Agent.
func (a *Agent) Fence(context.Context, *wire.FenceRequest) (*wire.FenceReply, error) {
	return &wire.FenceReply{}, nil
}

// Forget implements wire.Agent.
func (a *Agent) Forget(context.Context, *wire.ForgetRequest) (*wire.ForgetReply, error) {
	return &wire.ForgetReply{}, nil
}
