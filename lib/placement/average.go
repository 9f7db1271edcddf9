package placement

import (
	"math"
	"time"
)

// minWeight is the least weight of a new sample. With it the average keeps
// adapting to a worker whose speed changes.
const minWeight = 0.05

// Average is a running geometric mean, kept as the mean of logarithms so that rare
// long runs affect it little. The zero value has no samples.
type Average struct {
	// Log is the mean of the natural logarithms.
	Log float64
	// N is the number of samples.
	N int
}

// FromDeclared returns an average that starts from a declared run time, which
// the first sample replaces.
func FromDeclared(run time.Duration) Average {
	return Average{Log: math.Log(seconds(run))}
}

// WithStep returns the average updated with a sample whose logarithm exceeds the
// mean by step.
func (a Average) WithStep(step float64) Average {
	a.N++
	a.Log += step * max(minWeight, 1/float64(a.N))
	return a
}

// WithRun returns the average updated with the ratio of the actual to the
// expected run time. Runs where either is not positive are ignored.
func (a Average) WithRun(ran, expected time.Duration) Average {
	if ran <= 0 || expected <= 0 {
		return a
	}
	return a.WithStep(math.Log(float64(ran)/float64(expected)) - a.Log)
}

// Value returns the geometric mean.
func (a Average) Value() float64 { return math.Exp(a.Log) }

// Duration returns the mean as a duration, for samples in seconds.
func (a Average) Duration() time.Duration {
	return time.Duration(a.Value() * float64(time.Second))
}

// Learn updates the averages of a kind and of a worker with one run. The run
// time of a kind is that at a worker with factor 1; the factor of a worker is
// its run time divided by that of the kind.
func Learn(kind, worker Average, run time.Duration) (Average, Average) {
	step := math.Log(seconds(run)) - kind.Log - worker.Log
	if worker.N == 0 && kind.N > 0 {
		return kind, worker.WithStep(step)
	}
	return kind.WithStep(step), worker.WithStep(step * workerShare(kind))
}

// workerShare returns the part of a deviation that is attributed to the worker
// rather than the kind. It is small while the kind has few samples.
func workerShare(kind Average) float64 {
	return float64(kind.N) / float64(kind.N+4)
}

// seconds converts a run time to seconds, at least one microsecond, so that its
// logarithm is finite.
func seconds(run time.Duration) float64 {
	return max(run, time.Microsecond).Seconds()
}
