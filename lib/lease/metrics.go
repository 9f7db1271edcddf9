package lease

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

// metrics are what a keeper counts.
type metrics struct {
	scope    tally.Scope
	counters *sync.Map
	running  tally.Gauge
	free     [3]tally.Gauge
	toStart  tally.Histogram
	toEnd    tally.Histogram
}

// counterKey names a counter that is tagged with a reason.
type counterKey struct{ name, reason string }

func newMetrics(scope tally.Scope) metrics {
	scope = scope.SubScope("lease")
	return metrics{
		scope:    scope,
		counters: &sync.Map{},
		running:  scope.Gauge("running"),
		free: [3]tally.Gauge{
			scope.Gauge("free_cpu_millis"),
			scope.Gauge("free_memory_mb"),
			scope.Gauge("free_accelerators"),
		},
		toStart: scope.Histogram("accepted_to_started", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
		toEnd:   scope.Histogram("started_to_ended", tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)),
	}
}

// count adds one to the counter name for reason.
func (m metrics) count(name, reason string) {
	key := counterKey{name, reason}
	counter, ok := m.counters.Load(key)
	if !ok {
		counter, _ = m.counters.LoadOrStore(key, m.scope.Tagged(map[string]string{"reason": reason}).Counter(name))
	}
	counter.(tally.Counter).Inc(1)
}

func (m metrics) state(runs int, free *wire.Resources) {
	m.running.Update(float64(runs))
	m.free[0].Update(float64(free.GetCpuMillis()))
	m.free[1].Update(float64(free.GetMemoryMb()))
	m.free[2].Update(float64(free.GetAccelerators()))
}
