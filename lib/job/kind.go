package job

import (
	"math"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// thousand is the unit of a speed on the wire.
const thousand = 1000

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

// speed is what is known of the speed of a worker's life.
type speed struct {
	// factor is learned from the desk's own runs, the newest of which ended at.
	factor placement.Average
	at     time.Duration
	// told is the agent's word, from the runs of all entries; it changed last
	// at toldAt.
	told   placement.Average
	toldAt time.Duration
}

// known returns the average that rests on more runs, and its newest change.
func (s speed) known() (placement.Average, time.Duration) {
	if s.told.N > s.factor.N {
		return s.told, s.toldAt
	}
	return s.factor, s.at
}

// withWord returns the speed after the agent's word.
func (s speed) withWord(word *wire.WorkerState, now time.Duration) speed {
	told := placement.Average{Log: float64(word.GetSpeed()) / thousand, N: int(word.GetTimedRuns())}
	if told != s.told {
		s.told, s.toldAt = told, now
	}
	return s
}

// value returns the run time at the worker over that at one of factor 1.
func (s speed) value(now time.Duration) float64 {
	factor, at := s.known()
	kept := math.Exp(-float64(now-at) / float64(factorMemory))
	return shrunk(factor, kept)
}

// expectedAt is the run time of a run at a worker of factor 1, as far from its
// rack as it is.
func (d *Desk) expectedAt(r *run) time.Duration {
	expected := r.work.kind.expected(r.task.step.estimate)
	if r.remote {
		expected = time.Duration(float64(expected) * d.cfg.Remote)
	}
	return expected
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
	factor, _ := r.link.speed.known()
	_, own := placement.Learn(r.work.kind.ratio, r.link.speed.factor, sample)
	r.work.kind.ratio, _ = placement.Learn(r.work.kind.ratio, factor, sample)
	r.link.speed.factor = own
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
