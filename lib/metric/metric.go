// Package metric provides counters, gauges and histograms for the parts of the
// system, and serves them in the Prometheus format.
package metric

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which metrics are reported to the Prometheus
// registry.
const reportInterval = time.Second

// maxPages limits how many metrics pages are made at a time, each of which takes about
// a megabyte. Further requests are refused with 503.
const maxPages = 4

// Registry holds the metrics of one process.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
}

// New returns a registry for the named part, such as "entry".
func New(part string) *Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "skylarklane_" + part,
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}, reportInterval)
	return &Registry{scope: scope, closer: closer, registry: registry}
}

// Scope returns the root scope of the process.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handler serves the metrics page.
func (r *Registry) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxPages})
}

// Close reports the metrics a last time and stops reporting.
func (r *Registry) Close() { _ = r.closer.Close() }
