package job

import (
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/metric"
)

// metrics holds the metrics of a dispatcher.
type metrics struct {
	// refusals counts jobs that were refused or not stored, runs refused by
	// agents, and ejections of workers, by reason.
	refusals *metric.Counters
	retries  *metric.Counters
	failures *metric.Counters
	halts    *metric.Counters
	// returns counts the refused jobs that were submitted again, by turn.
	returns *metric.Counters
	// claimed is the time that a claim takes.
	claimed tally.Histogram
	// retryAfter is the delay that callers of refused jobs are told.
	retryAfter tally.Histogram
	// waited is the time from a job's receipt to its first start, ran from a
	// launch to the run's end, answered from the last end to the answer.
	waited   tally.Histogram
	ran      tally.Histogram
	answered tally.Histogram
	// waits counts runs that wait at an agent for capacity.
	waits   tally.Counter
	queued  tally.Gauge
	open    tally.Gauge
	watched tally.Gauge
	// lag is the mean by which the entry's timers are late, in milliseconds.
	lag tally.Gauge
	// evacuated is the number of agents in evacuated data centres.
	evacuated tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		refusals:   metric.NewReasonCounters(scope, "job_refusals"),
		retries:    metric.NewReasonCounters(scope, "job_retries"),
		failures:   metric.NewReasonCounters(scope, "job_failures"),
		halts:      metric.NewReasonCounters(scope, "job_halts"),
		returns:    metric.NewReasonCounters(scope, "job_returns"),
		claimed:    metric.NewDurationHistogram(scope, "asked_to_claimed"),
		retryAfter: metric.NewDurationHistogram(scope, "retry_after"),
		waited:     metric.NewDurationHistogram(scope, "received_to_started"),
		ran:        metric.NewDurationHistogram(scope, "started_to_ended"),
		answered:   metric.NewDurationHistogram(scope, "ended_to_answered"),
		waits:      scope.Counter("runs_waiting_at_agents"),
		queued:     scope.Gauge("jobs_queued"),
		open:       scope.Gauge("jobs_open"),
		watched:    scope.Gauge("agents_watched"),
		lag:        scope.Gauge("lag_millis"),
		evacuated:  scope.Gauge("agents_evacuated"),
	}
}

func (m *metrics) refusal(reason string) { m.refusals.Inc(reason) }
func (m *metrics) retry(reason string)   { m.retries.Inc(reason) }
func (m *metrics) failure(reason string) { m.failures.Inc(reason) }
func (m *metrics) halt(reason string)    { m.halts.Inc(reason) }
