package placement

import (
	"math"
	"time"
)

// minWeight is the least weight of a new sample, so that an average follows a
// worker that changes.
const minWeight = 0.05

// Average is a running mean of logarithms: a geometric mean, which a rare long
// run moves little. The zero value has seen nothing.
type Average struct {
	// Log is the mean of the natural logarithms.
	Log float64
	// N is the number of samples.
	N int
}

// Declared returns an average that starts from a declared run time and gives
// way to the first samples.
func Declared(run time.Duration) Average {
	return Average{Log: math.Log(seconds(run))}
}

// WithStep returns the average moved towards a sample that lies step above it.
func (a Average) WithStep(step float64) Average {
	a.N++
	a.Log += step * max(minWeight, 1/float64(a.N))
	return a
}

// WithRun returns the average after a run that took so long where another time
// was expected. Times that aren't positive tell nothing.
func (a Average) WithRun(ran, expected time.Duration) Average {
	if ran <= 0 || expected <= 0 {
		return a
	}
	return a.WithStep(math.Log(float64(ran)/float64(expected)) - a.Log)
}

// Value returns the mean itself.
func (a Average) Value() float64 { return math.Exp(a.Log) }

// Duration returns the mean as a time, where samples were in seconds.
func (a Average) Duration() time.Duration {
	return time.Duration(a.Value() * float64(time.Second))
}

// Learn takes one run into the averages of its kind and of its worker. The run
// time of a kind counts at a worker of factor 1; the factor of a worker is its
// run time over that of the kind.
func Learn(kind, worker Average, run time.Duration) (Average, Average) {
	step := math.Log(seconds(run)) - kind.Log - worker.Log
	if worker.N == 0 && kind.N > 0 {
		return kind, worker.WithStep(step)
	}
	return kind.WithStep(step), worker.WithStep(step * workerPart(kind))
}

// workerPart is how much of a surprise is laid to the worker: little while the
// kind itself is hardly known.
func workerPart(kind Average) float64 {
	return float64(kind.N) / float64(kind.N+4)
}

// seconds returns a run time as a positive number.
func seconds(run time.Duration) float64 {
	return max(run, time.Microsecond).Seconds()
}
