package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/agent"
	"skylarklane.example/lib/wire"
)

const (
	// workerTimeout bounds the request to one worker's agent.
	workerTimeout = 2 * time.Second
	// maxConcurrentRequests bounds the number of concurrent requests.
	maxConcurrentRequests = 32
)

// cmdWorkers is `skylarklane workers --control 127.0.0.1:7000`.
type cmdWorkers struct {
	Control string `help:"Address of a control host, IP:port." required:""`
	outputFlag
}

// workerStatus is the state of one worker.
type workerStatus struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Reached is false if the agent did not respond.
	Reached bool `json:"reached"`
	agent.Status
}

// Run requests the backend servers of every agent and prints them.
func (c *cmdWorkers) Run(e *env) error {
	reply, err := requestStatus(e, "workers", c.Control)
	if err != nil {
		return err
	}
	workers := requestWorkers(e, reply.GetDirectory().GetMembers())
	return c.print(e, workers, workersTable(workers))
}

func requestWorkers(e *env, members []*wire.Member) []workerStatus {
	workers := []workerStatus{}
	for _, m := range members {
		if m.GetRole() == wire.Role_ROLE_AGENT {
			workers = append(workers, workerStatus{
				ID: m.GetIncarnation().GetId(), Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Rack: m.GetRack(),
			})
		}
	}
	var requests sync.WaitGroup
	limit := make(chan struct{}, maxConcurrentRequests)
	for n := range workers {
		requests.Go(func() {
			limit <- struct{}{}
			defer func() { <-limit }()
			workers[n].request(e)
		})
	}
	requests.Wait()
	return workers
}

// request requests the status from the worker's agent.
func (s *workerStatus) request(e *env) {
	ctx, cancel := context.WithTimeout(e.ctx, workerTimeout)
	defer cancel()
	s.Reached = getJSON(ctx, e.client, "http://"+s.Address+agent.StatusPath, &s.Status) == nil
}

func workersTable(workers []workerStatus) table {
	t := table{header: []string{"WORKER", "DATA CENTRE", "RACK", "STATE", "RUNNING", "BACKEND SERVER", "SERVICE", "SLOTS", "HEARD", "URL"}}
	for _, w := range workers {
		row := []string{w.ID, orDash(w.DataCentre), orDash(w.Rack), w.state(), strconv.Itoa(w.Running)}
		for _, server := range w.BackendServers {
			t.rows = append(t.rows, append(row, server.ID, server.Service, strconv.Itoa(server.Slots),
				fmt.Sprintf("%dms", server.SilentMillis), server.URL))
			row = []string{"", "", "", "", ""}
		}
		if len(w.BackendServers) == 0 {
			t.rows = append(t.rows, append(row, "-", "-", "0", "-", "-"))
		}
	}
	return t
}

func (s *workerStatus) state() string {
	if !s.Reached {
		return "unreachable"
	}
	return stateName(s.Leaving)
}

// getJSON reads the JSON document at url into v.
func getJSON(ctx context.Context, client *http.Client, url string, v any) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "invalid address")
	}
	response, err := client.Do(r)
	if err != nil {
		return eris.Wrap(err, "no response")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", response.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(response.Body).Decode(v), "the response is not JSON")
}
