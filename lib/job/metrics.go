package job

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// metrics counts what the desk decides. Counters are made when first used.
type metrics struct {
	scope    tally.Scope
	counters sync.Map
	// waited is from a job's receipt to its first start, ran from a launch to
	// its end, answered from the last end to the answer.
	waited   tally.Histogram
	ran      tally.Histogram
	answered tally.Histogram
	queued   tally.Gauge
	open     tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return &metrics{
		scope:    scope,
		waited:   scope.Histogram("received_to_started", buckets),
		ran:      scope.Histogram("started_to_ended", buckets),
		answered: scope.Histogram("ended_to_answered", buckets),
		queued:   scope.Gauge("jobs_queued"),
		open:     scope.Gauge("jobs_open"),
	}
}

func (m *metrics) refusal(reason string) { m.count("job_refusals", reason) }
func (m *metrics) retry(reason string)   { m.count("job_retries", reason) }
func (m *metrics) failure(reason string) { m.count("job_failures", reason) }
func (m *metrics) halt(reason string)    { m.count("job_halts", reason) }

func (m *metrics) count(name, reason string) {
	key := name + " " + reason
	counter, ok := m.counters.Load(key)
	if !ok {
		counter, _ = m.counters.LoadOrStore(key, m.scope.Tagged(map[string]string{"reason": reason}).Counter(name))
	}
	counter.(tally.Counter).Inc(1)
}
