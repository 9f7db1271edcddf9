package metric

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Buckets of durations: 14 of them double from the least one, the last is 8 s.
const (
	leastDuration   = time.Millisecond
	durationGrowth  = 2
	durationBuckets = 14
)

// buckets are shared by all histograms of durations, so that they compare.
var buckets = tally.MustMakeExponentialDurationBuckets(leastDuration, durationGrowth, durationBuckets)

// Durations returns a histogram of times from 1 ms to 8 s.
func Durations(scope tally.Scope, name string) tally.Histogram {
	return scope.Histogram(name, buckets)
}
