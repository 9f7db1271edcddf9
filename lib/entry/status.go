package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
)

// statusBody is the response body of the operators' status endpoint.
type statusBody struct {
	Jobs     int             `json:"jobs"`
	Current  bool            `json:"current"`
	Services []serviceStatus `json:"services"`
	Teams    []teamStatus    `json:"teams"`
}

// serviceStatus is the status of one service at an entry.
type serviceStatus struct {
	Service     string         `json:"service"`
	QueuedTasks int            `json:"queuedTasks"`
	Running     int            `json:"runningTasks"`
	TokensHeld  int            `json:"tokensHeld"`
	TokensIdle  int            `json:"tokensIdle"`
	Slots       int            `json:"slots"`
	Kinds       []kindStatus   `json:"kinds"`
	Servers     []serverStatus `json:"backendServers"`
}

// kindStatus is the learned run time of one kind.
type kindStatus struct {
	Kind      string  `json:"kind"`
	RunMillis float64 `json:"runMillis"`
	Runs      int     `json:"runs"`
}

// serverStatus is the status of one backend server as seen by this entry.
type serverStatus struct {
	Agent         string  `json:"agent"`
	BackendServer string  `json:"backendServer"`
	RunTimeFactor float64 `json:"runTimeFactor"`
	Done          uint64  `json:"done"`
	Failed        uint64  `json:"failed"`
	Running       int     `json:"runningTasks"`
	Ejected       bool    `json:"ejected"`
}

// teamStatus is the quota usage of one team at an entry.
type teamStatus struct {
	Team        string  `json:"team"`
	Running     int     `json:"runningTasks"`
	WaitingJobs int     `json:"waitingJobs"`
	Used        float64 `json:"usedShare"`
}

func (e *Entry) status(w http.ResponseWriter, _ *http.Request) {
	body := e.dispatcher.status()
	body.Current = e.follower.Current()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (d *dispatcher) status() statusBody {
	d.mu.Lock()
	defer d.mu.Unlock()
	body := statusBody{Jobs: len(d.jobs)}
	for _, svc := range d.services {
		body.Services = append(body.Services, d.serviceStatus(svc))
	}
	for _, t := range d.teams {
		body.Teams = append(body.Teams, teamStatus{
			Team: t.name, Running: t.account.Running, WaitingJobs: t.waiting, Used: t.account.Used,
		})
	}
	slices.SortFunc(body.Services, func(a, b serviceStatus) int { return strings.Compare(a.Service, b.Service) })
	slices.SortFunc(body.Teams, func(a, b teamStatus) int { return strings.Compare(a.Team, b.Team) })
	return body
}

func (d *dispatcher) serviceStatus(svc *serviceState) serviceStatus {
	s := serviceStatus{
		Service: svc.service, QueuedTasks: svc.queue.tasks, Running: len(svc.running),
		TokensHeld: svc.pool.held, TokensIdle: svc.pool.idle, Slots: svc.slots,
	}
	for _, kind := range svc.kinds {
		s.Kinds = append(s.Kinds, kindStatus{
			Kind: kind.name, RunMillis: kind.runTime.Value() * 1000, Runs: kind.runTime.N,
		})
	}
	for _, a := range d.fleet.agents {
		for _, server := range a.servers {
			if server.serviceState == svc {
				s.Servers = append(s.Servers, statusOf(server))
			}
		}
	}
	slices.SortFunc(s.Kinds, func(a, b kindStatus) int { return strings.Compare(a.Kind, b.Kind) })
	slices.SortFunc(s.Servers, func(a, b serverStatus) int {
		return strings.Compare(a.Agent+"/"+a.BackendServer, b.Agent+"/"+b.BackendServer)
	})
	return s
}

func statusOf(s *server) serverStatus {
	return serverStatus{
		Agent:         s.agent.incarnation.GetId(),
		BackendServer: s.name,
		RunTimeFactor: s.speed.Value(),
		Done:          s.succeeded,
		Failed:        s.failed,
		Running:       len(s.running),
		Ejected:       s.health.Ejected(),
	}
}
