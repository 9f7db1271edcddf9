package job

import (
	"math"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// speedUnit is the factor by which the logarithms of speeds are multiplied on
// the wire.
const speedUnit = 1000

// priorWeight is the number of samples that weigh as much as the prior
// assumption of a factor of 1.
const priorWeight = 3

// factorDecayTime is the time constant with which a learned speed decays
// without new runs.
const factorDecayTime = 30 * time.Second

// overdueExtra is how much longer than twice its expected time a run may take
// before it counts against its worker.
const overdueExtra = 50 * time.Millisecond

// kindStats averages the ratio of run time to estimate for a kind of job, on a
// worker with a speed factor of 1.
type kindStats struct {
	ratio placement.Average
}

// expected returns the expected run time on a worker with a speed factor of 1.
func (k *kindStats) expected(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * shrunk(k.ratio, 1))
}

// shrunk returns the value of an average, moved towards 1 if it has few
// samples. kept is the part of its weight that is left after decay, from 0 to
// 1.
func shrunk(a placement.Average, kept float64) float64 {
	n := float64(a.N)
	return math.Exp(a.Log * kept * n / (n + priorWeight))
}

// speed is the estimated speed of a worker incarnation. Its averages are of the
// ratio of actual to expected run time, so a slow worker has a high factor.
type speed struct {
	// factor is learned from the dispatcher's own runs, the newest of which
	// ended at factorAt.
	factor   placement.Average
	factorAt time.Duration
	// reported is what the agent reports, from the runs of all entries; it
	// changed last at reportedAt.
	reported   placement.Average
	reportedAt time.Duration
}

// mostSampled returns the average with more samples, learned here or reported,
// and the time of its last change.
func (s speed) mostSampled() (placement.Average, time.Duration) {
	if s.reported.N > s.factor.N {
		return s.reported, s.reportedAt
	}
	return s.factor, s.factorAt
}

// withReport returns the speed updated with a report of the agent.
func (s speed) withReport(state *wire.WorkerState, now time.Duration) speed {
	reported := placement.Average{Log: float64(state.GetSpeed()) / speedUnit, N: int(state.GetTimedRuns())}
	if reported != s.reported {
		s.reported, s.reportedAt = reported, now
	}
	return s
}

// value returns the speed factor: the ratio of run times on the worker to those
// on a worker with a speed factor of 1.
func (s speed) value(now time.Duration) float64 {
	factor, at := s.mostSampled()
	kept := math.Exp(-float64(now-at) / float64(factorDecayTime))
	return shrunk(factor, kept)
}

// expectedRunTime returns the expected time of a run on a worker with a speed
// factor of 1, including the cost of running outside its preferred rack.
func (d *Dispatcher) expectedRunTime(r *run) time.Duration {
	expected := r.activeJob.kindStats.expected(r.task.step.estimate)
	if r.remote {
		expected = time.Duration(float64(expected) * d.cfg.RemoteFactor)
	}
	return expected
}

// speedFactor returns the worker's speed factor, doubled if at least two and at
// least half of its runs are overdue.
func (l *link) speedFactor(now time.Duration) float64 {
	overdue := 0
	for _, r := range l.runs {
		if now-r.begunBy() > 2*r.expected+overdueExtra {
			overdue++
		}
	}
	speedFactor := l.speed.value(now)
	if overdue >= 2 && 2*overdue >= len(l.runs) {
		speedFactor *= 2
	}
	return speedFactor
}

// recordRunTime updates the statistics of the run's kind and worker.
func (d *Dispatcher) recordRunTime(r *run, ran, now time.Duration) {
	estimate := r.task.step.estimate
	if ran <= 0 || estimate <= 0 {
		return
	}
	ratio := float64(ran) / float64(estimate)
	if r.remote {
		ratio /= d.cfg.RemoteFactor
	}
	d.recordMeanRun(r, time.Duration(float64(ran)/r.link.speed.value(now)))
	sample := time.Duration(ratio * float64(time.Second))
	factor, _ := r.link.speed.mostSampled()
	_, own := placement.Learn(r.activeJob.kindStats.ratio, r.link.speed.factor, sample)
	r.activeJob.kindStats.ratio, _ = placement.Learn(r.activeJob.kindStats.ratio, factor, sample)
	r.link.speed.factor = own
	r.link.speed.factorAt = now
}

// kindStatsOf returns the statistics of a job's kind, creating them if needed.
func (d *Dispatcher) kindStatsOf(j Job) *kindStats {
	name := j.Service + "/" + j.Kind.GetName()
	if d.kinds[name] == nil {
		d.kinds[name] = &kindStats{}
	}
	return d.kinds[name]
}
