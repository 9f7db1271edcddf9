package job

import (
	"math"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// speedUnit is the unit of a speed on the wire.
const speedUnit = 1000

// priorWeight is the number of samples that weigh as much as the prior assumption.
const priorWeight = 3

// factorDecayTime is the time constant with which a learned speed decays without
// new runs.
const factorDecayTime = 30 * time.Second

// overdueExtra is how much longer than twice its expected time a run may take
// before it counts against its worker.
const overdueExtra = 50 * time.Millisecond

// kindStats averages the ratio of run time to estimate for a kind of job, at
// a worker of factor 1.
type kindStats struct {
	ratio placement.Average
}

// expected returns the run time at a worker of factor 1.
func (k *kindStats) expected(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * shrunk(k.ratio, 1))
}

// shrunk returns the value of an average, moved towards 1 if it has few
// samples or has kept only a part of its weight.
func shrunk(a placement.Average, kept float64) float64 {
	n := float64(a.N)
	return math.Exp(a.Log * kept * n / (n + priorWeight))
}

// speed is the estimated speed of a worker incarnation.
type speed struct {
	// factor is learned from the dispatcher's own runs, the newest of which
	// ended at at.
	factor placement.Average
	at     time.Duration
	// told is what the agent reports, from the runs of all entries; it
	// changed last at toldAt.
	told   placement.Average
	toldAt time.Duration
}

// known returns the average that rests on more runs, and the time of its last
// change.
func (s speed) known() (placement.Average, time.Duration) {
	if s.told.N > s.factor.N {
		return s.told, s.toldAt
	}
	return s.factor, s.at
}

// withWord returns the speed after a report of the agent.
func (s speed) withWord(word *wire.WorkerState, now time.Duration) speed {
	told := placement.Average{Log: float64(word.GetSpeed()) / speedUnit, N: int(word.GetTimedRuns())}
	if told != s.told {
		s.told, s.toldAt = told, now
	}
	return s
}

// value returns the ratio of run times at the worker to those at a worker of
// factor 1.
func (s speed) value(now time.Duration) float64 {
	factor, at := s.known()
	kept := math.Exp(-float64(now-at) / float64(factorDecayTime))
	return shrunk(factor, kept)
}

// expectedAt returns the run time of a run at a worker of factor 1, including
// the cost of running away from its preferred rack.
func (d *Dispatcher) expectedAt(r *run) time.Duration {
	expected := r.workItem.kindStats.expected(r.task.step.estimate)
	if r.remote {
		expected = time.Duration(float64(expected) * d.cfg.Remote)
	}
	return expected
}

// factor returns the worker's speed factor, doubled if most of its runs are
// overdue.
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

// learn updates the statistics of the run's kind and worker.
func (d *Dispatcher) learn(r *run, ran, now time.Duration) {
	estimate := r.task.step.estimate
	if ran <= 0 || estimate <= 0 {
		return
	}
	ratio := float64(ran) / float64(estimate)
	if r.remote {
		ratio /= d.cfg.Remote
	}
	sample := time.Duration(ratio * float64(time.Second))
	factor, _ := r.link.speed.known()
	_, own := placement.Learn(r.workItem.kindStats.ratio, r.link.speed.factor, sample)
	r.workItem.kindStats.ratio, _ = placement.Learn(r.workItem.kindStats.ratio, factor, sample)
	r.link.speed.factor = own
	r.link.speed.at = now
}

// kindOf returns the statistics of a job's kind.
func (d *Dispatcher) kindOf(j Job) *kindStats {
	name := j.Service + "/" + j.Kind.GetName()
	if d.kinds[name] == nil {
		d.kinds[name] = &kindStats{}
	}
	return d.kinds[name]
}
