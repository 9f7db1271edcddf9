package metric

import (
	"time"

	"github.com/uber-go/tally/v4"
)

// Buckets of durations: 14 buckets, each twice the previous one, from 1 ms to
// about 8 s.
const (
	minDuration  = time.Millisecond
	bucketFactor = 2
	bucketCount  = 14
)

// buckets are the same for all duration histograms, so that these are
// comparable.
var buckets = tally.MustMakeExponentialDurationBuckets(minDuration, bucketFactor, bucketCount)

// NewDurationHistogram returns a histogram of durations from 1 ms to about 8 s.
func NewDurationHistogram(scope tally.Scope, name string) tally.Histogram {
	return scope.Histogram(name, buckets)
}
