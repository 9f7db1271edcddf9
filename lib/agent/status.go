package agent

import (
	"encoding/json"
	"net/http"

	"skylarklane.example/lib/backend"
)

// StatusPath is the path at which operators read the state of a worker.
const StatusPath = "/v1/admin/worker"

// Status is the state of one worker, as operators read it.
type Status struct {
	// Running is the number of running tasks.
	Running        int              `json:"running"`
	Leaving        bool             `json:"leaving"`
	BackendServers []backend.Status `json:"backendServers"`
}

func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Status{
		Running: a.gate.InFlight(), Leaving: a.gate.Closed(), BackendServers: a.registry.Statuses(),
	})
}
