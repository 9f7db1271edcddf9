package lease

import (
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/metric"
	"skylarklane.example/lib/wire"
)

// metrics holds the metrics of a manager.
type metrics struct {
	// refusals counts refused launches of entries, by reason.
	refusals *metric.Counters
	// orderRefusals counts orders that the worker refused, by reason.
	orderRefusals *metric.Counters
	// stops counts stopped runs, by reason.
	stops *metric.Counters
	// retries counts late holds, unanswered orders and raised fences.
	retries *metric.Counters
	// ends counts ended runs, by the reason they were not completed; completed
	// runs count as "done".
	ends *metric.Counters
	// unstored counts ends of runs of durable jobs that were acknowledged
	// although no entry had stored them.
	unstored tally.Counter
	// reportRows counts rows of the worker's reports that were not usable, by
	// reason.
	reportRows *metric.Counters
	// announcements counts ignored and refused announcements, by reason.
	announcements *metric.Counters

	// running is the number of accepted runs, free the free CPU, memory and
	// accelerators.
	running tally.Gauge
	free    [3]tally.Gauge
	// queued counts runs that had to wait for capacity, waiting is the number of
	// those that wait now, and waited the time from the launch of a run that had to
	// wait to its acceptance by the starter.
	queued  tally.Counter
	waiting tally.Gauge
	waited  tally.Histogram
	// claims counts the claims of jobs, by outcome, and claimed is the time that one
	// takes.
	claims  *metric.Counters
	claimed tally.Histogram
	// starting is the time from the acceptance of a run to its start, lasting
	// that from the start to the end.
	starting tally.Histogram
	lasting  tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("lease")
	return metrics{
		refusals:      metric.NewReasonCounters(scope, "refusals"),
		orderRefusals: metric.NewReasonCounters(scope, "order_refusals"),
		stops:         metric.NewReasonCounters(scope, "stops"),
		retries:       metric.NewReasonCounters(scope, "retries"),
		ends:          metric.NewReasonCounters(scope, "ends"),
		unstored:      scope.Counter("ends_given_up"),
		reportRows:    metric.NewReasonCounters(scope, "report_rows"),
		announcements: metric.NewReasonCounters(scope, "announcements"),
		running:       scope.Gauge("running"),
		queued:        scope.Counter("queued"),
		waiting:       scope.Gauge("waiting"),
		waited:        metric.NewDurationHistogram(scope, "queued_to_accepted"),
		free: [3]tally.Gauge{
			scope.Gauge("free_cpu_millis"),
			scope.Gauge("free_memory_mb"),
			scope.Gauge("free_accelerators"),
		},
		claims:   metric.NewReasonCounters(scope, "claims"),
		claimed:  metric.NewDurationHistogram(scope, "asked_to_claimed"),
		starting: metric.NewDurationHistogram(scope, "accepted_to_started"),
		lasting:  metric.NewDurationHistogram(scope, "started_to_ended"),
	}
}

func (m metrics) recordClaim(granted bool, took time.Duration) {
	m.claimed.RecordDuration(took)
	if !granted {
		m.claims.Inc("denied")
		return
	}
	m.claims.Inc("granted")
}

func (m metrics) state(runs, waiting int, free *wire.Resources) {
	m.waiting.Update(float64(waiting))
	m.running.Update(float64(runs))
	m.free[0].Update(float64(free.GetCpuMillis()))
	m.free[1].Update(float64(free.GetMemoryMb()))
	m.free[2].Update(float64(free.GetAccelerators()))
}
