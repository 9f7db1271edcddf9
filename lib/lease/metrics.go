package lease

import (
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/wire"
)

// metrics holds the metrics of a keeper.
type metrics struct {
	// refusals counts refused launches of entries, by reason.
	refusals *metric.Counters
	// orderRefusals counts orders that the worker refused, by reason.
	orderRefusals *metric.Counters
	// stops counts stopped runs, by reason.
	stops *metric.Counters
	// retries counts repeated orders.
	retries *metric.Counters
	// ends counts ended runs, by the reason they were not completed.
	ends *metric.Counters
	// unstored counts ends of durable jobs' runs that were acknowledged
	// although no entry stored them.
	unstored tally.Counter
	// announcements counts announcements that change nothing.
	announcements *metric.Counters

	running  tally.Gauge
	free     [3]tally.Gauge
	starting tally.Histogram
	lasting  tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("lease")
	return metrics{
		refusals:      metric.Reasons(scope, "refusals"),
		orderRefusals: metric.Reasons(scope, "order_refusals"),
		stops:         metric.Reasons(scope, "stops"),
		retries:       metric.Reasons(scope, "retries"),
		ends:          metric.Reasons(scope, "ends"),
		unstored:      scope.Counter("ends_given_up"),
		announcements: metric.Reasons(scope, "announcements"),
		running:       scope.Gauge("running"),
		free: [3]tally.Gauge{
			scope.Gauge("free_cpu_millis"),
			scope.Gauge("free_memory_mb"),
			scope.Gauge("free_accelerators"),
		},
		starting: metric.Durations(scope, "accepted_to_started"),
		lasting:  metric.Durations(scope, "started_to_ended"),
	}
}

func (m metrics) state(runs int, free *wire.Resources) {
	m.running.Update(float64(runs))
	m.free[0].Update(float64(free.GetCpuMillis()))
	m.free[1].Update(float64(free.GetMemoryMb()))
	m.free[2].Update(float64(free.GetAccelerators()))
}
