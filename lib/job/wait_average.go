package job

import (
	"math"
	"time"
)

// delayDecayTime is the time constant with which the delays of earlier jobs lose
// their weight.
const delayDecayTime = 300 * time.Millisecond

// delayWeight is the weight of the newest delay.
const delayWeight = 0.2

// delayKey identifies jobs that compete for the same capacity.
type delayKey struct {
	service  string
	priority uint32
}

// delay is a moving average of how long jobs have recently waited for their
// first start.
type delay struct {
	mean time.Duration
	at   time.Duration
}

// value returns the mean delay, decayed with its age.
func (y delay) value(now time.Duration) time.Duration {
	return time.Duration(float64(y.mean) * math.Exp(-float64(now-y.at)/float64(delayDecayTime)))
}

// with returns the average after another sample.
func (y delay) with(sample, now time.Duration) delay {
	mean := y.value(now)
	return delay{mean: mean + time.Duration(delayWeight*float64(sample-mean)), at: now}
}

// recordDelay records how long a job waited. The wait of a job that was given
// up is doubled, as it would have waited longer.
func (d *Dispatcher) recordDelay(w *workItem, now time.Duration) {
	sample := now - w.receivedAt
	if w.startedAt == 0 {
		sample *= 2
	}
	key := w.delayKey()
	d.delays[key] = d.delays[key].with(sample, now)
}

func (w *workItem) delayKey() delayKey { return delayKey{w.Service, w.Kind.GetPriority()} }
