package job

import (
	"math"
	"time"

	"skylarklane.example/lib/placement"
)

// trust is the number of samples that are worth as much as what was assumed
// before.
const trust = 3

// factorMemory is how long a learned speed lasts without new runs.
const factorMemory = 30 * time.Second

// overdueExtra is how much longer than twice its expected time a run takes
// before it tells something of its worker.
const overdueExtra = 50 * time.Millisecond

// kind is what the desk has learned of a kind of request: its run times over
// their estimates, at a worker of factor 1.
type kind struct {
	ratio placement.Average
}

// expected returns the run time at a worker of factor 1.
func (k *kind) expected(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * shrunk(k.ratio, 1))
}

// shrunk returns the value of an average, moved towards 1 where it has few
// samples or has kept only a part of its weight.
func shrunk(a placement.Average, kept float64) float64 {
	n := float64(a.N)
	return math.Exp(a.Log * kept * n / (n + trust))
}

// speed is what the desk has learned of a worker's life.
type speed struct {
	factor placement.Average
	at     time.Duration
}

// value returns the run time at the worker over that at one of factor 1.
func (s speed) value(now time.Duration) float64 {
	kept := math.Exp(-float64(now-s.at) / float64(factorMemory))
	return shrunk(s.factor, kept)
}

// factor is the worker's speed, less where most of its runs are overdue.
func (l *link) factor(now time.Duration) float64 {
	overdue := 0
	for _, r := range l.runs {
		if now-r.sentAt > 2*r.expected+overdueExtra {
			overdue++
		}
	}
	factor := l.speed.value(now)
	if overdue >= 2 && 2*overdue >= len(l.runs) {
		factor *= 2
	}
	return factor
}

// learn takes a run into what is known of its kind and its worker.
func (d *Desk) learn(r *run, ran, now time.Duration) {
	estimate := r.task.step.estimate
	if ran <= 0 || estimate <= 0 {
		return
	}
	ratio := float64(ran) / float64(estimate)
	if r.remote {
		ratio /= d.cfg.Remote
	}
	sample := time.Duration(ratio * float64(time.Second))
	r.work.kind.ratio, r.link.speed.factor = placement.Learn(r.work.kind.ratio, r.link.speed.factor, sample)
	r.link.speed.at = now
}

// kindOf returns what is known of the kind of a job.
func (d *Desk) kindOf(j Job) *kind {
	name := j.Service + "/" + j.Kind.GetName()
	if d.kinds[name] == nil {
		d.kinds[name] = &kind{}
	}
	return d.kinds[name]
}
