package control

import (
	"context"
	"net/http"
	"time"

	"skylarklane.example/lib/process"
	"skylarklane.example/lib/quorum"
	"skylarklane.example/lib/wire"
)

// probeTimeout bounds the time to answer a health probe.
const probeTimeout = 2 * time.Second

// Handler returns the HTTP handler for the other hosts, the members and
// operators.
func (c *Control) Handler() http.Handler {
	mux := http.NewServeMux()
	// Members need the answers to their renewals also beside a crowd.
	mux.Handle(wire.ControlPathPrefix, withRequestHeader(wire.NewControlServer(c, c.hooks, process.AnswerLimits("Newest", "Status", "History"))))
	mux.Handle(wire.JobStorePathPrefix, wire.NewJobStoreServer(c.jobs, c.hooks))
	mux.Handle(wire.QuorumPathPrefix, wire.NewQuorumServer(c.node, c.hooks))
	mux.Handle("/metrics", c.metricsHandler)
	mux.HandleFunc("/healthz", c.healthz)
	mux.HandleFunc("/readyz", c.readyz)
	return mux
}

// healthz reports whether the host's node is running.
func (c *Control) healthz(w http.ResponseWriter, r *http.Request) {
	if _, err := c.nodeStatus(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// readyz reports whether the host belongs to a group that has a leader.
func (c *Control) readyz(w http.ResponseWriter, r *http.Request) {
	status, err := c.nodeStatus(r.Context())
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !status.InGroup:
		http.Error(w, "this host belongs to no group yet", http.StatusServiceUnavailable)
	case status.Leader == "" || status.Leader == c.cfg.GetId() && !status.Current:
		http.Error(w, "no leader is known", http.StatusServiceUnavailable)
	}
}

// refreshStatus updates the gauges and the list of hosts.
func (c *Control) refreshStatus(ctx context.Context) {
	status, err := c.nodeStatus(ctx)
	if err != nil {
		return
	}
	c.scope.Gauge("data_centres_evacuated").Update(float64(c.countEvacuated(ctx)))
	list := &hostList{version: status.GroupVersion}
	for _, host := range status.Hosts {
		if host.Address != "" {
			list.addresses = append(list.addresses, host.Address)
		}
	}
	c.hosts.Store(list)
	current := 0.0
	if status.Current {
		current = 1
	}
	c.scope.Gauge("leading").Update(current)
	c.scope.Gauge("term").Update(float64(status.Term))
	c.scope.Gauge("commit_index").Update(float64(status.Commit))
}

func (c *Control) nodeStatus(ctx context.Context) (quorum.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer := make(chan quorum.Status, 1)
	if err := c.node.ReadStatus(ctx, func(s quorum.Status) { answer <- s }); err != nil {
		return quorum.Status{}, err
	}
	return <-answer, nil
}
