package job

import (
	"math"
	"time"
)

// delayMemory is how long the delays of earlier jobs tell something.
const delayMemory = 300 * time.Millisecond

// delayWeight is the weight of the newest delay.
const delayWeight = 0.2

// delayKey names jobs that wait for the same room.
type delayKey struct {
	service  string
	priority uint32
}

// delay is how long jobs have lately waited for their first start.
type delay struct {
	mean time.Duration
	at   time.Duration
}

// value returns the mean delay as far as it still tells something.
func (y delay) value(now time.Duration) time.Duration {
	return time.Duration(float64(y.mean) * math.Exp(-float64(now-y.at)/float64(delayMemory)))
}

// with returns the delay after another one.
func (y delay) with(sample, now time.Duration) delay {
	mean := y.value(now)
	return delay{mean: mean + time.Duration(delayWeight*float64(sample-mean)), at: now}
}

// noteDelay takes in how long a job waited. One that was given up would have
// waited longer.
func (d *Desk) noteDelay(w *work, now time.Duration) {
	sample := now - w.receivedAt
	if w.startedAt == 0 {
		sample *= 2
	}
	key := w.delayKey()
	d.delays[key] = d.delays[key].with(sample, now)
}

func (w *work) delayKey() delayKey { return delayKey{w.Service, w.Kind.GetPriority()} }
