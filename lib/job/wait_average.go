package job

import (
	"math"
	"time"
)

// waitDecayTime is the time constant with which the average wait decays while
// no sample is added.
const waitDecayTime = 300 * time.Millisecond

// waitWeight is the weight of the newest sample in the average.
const waitWeight = 0.2

// waitKey identifies jobs that compete for the same capacity.
type waitKey struct {
	service  string
	priority uint32
}

// waitAverage is a moving average of how long jobs have recently waited for
// their first start.
type waitAverage struct {
	mean time.Duration
	at   time.Duration
}

// value returns the mean wait, decayed with its age.
func (a waitAverage) value(now time.Duration) time.Duration {
	return time.Duration(float64(a.mean) * math.Exp(-float64(now-a.at)/float64(waitDecayTime)))
}

// with returns the average after another sample.
func (a waitAverage) with(sample, now time.Duration) waitAverage {
	mean := a.value(now)
	return waitAverage{mean: mean + time.Duration(waitWeight*float64(sample-mean)), at: now}
}

// recordWait records how long a job waited for its first start. The wait of a
// job that was given up is doubled, as it would have waited longer.
func (d *Dispatcher) recordWait(job *activeJob, now time.Duration) {
	sample := now - job.receivedAt
	if job.startedAt == 0 {
		sample *= 2
	}
	key := job.waitKey()
	d.waits[key] = d.waits[key].with(sample, now)
}

func (job *activeJob) waitKey() waitKey { return waitKey{job.Service, job.Kind.GetPriority()} }
