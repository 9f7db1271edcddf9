package trace

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/wire"
)

// generator draws the jobs of one cell.
type generator struct {
	experiment *wire.Experiment
	cell       *wire.Cell
	random     *rand.Rand
	kinds      map[string]*wire.Kind
}

const (
	// tolerance is how far the load of a trace may be from that of its cell.
	tolerance = 0.02
	maxTries  = 1000
)

// Generate returns the jobs of a cell in the order of their send times: the
// first trace drawn whose load is close to the cell's, as short traces vary
// widely. Equal arguments give equal jobs. Run tells the keys of several runs
// apart.
func Generate(experiment *wire.Experiment, cell *wire.Cell, run string) []Job {
	h := fnv.New64a()
	_, _ = h.Write([]byte(cell.GetName()))
	var jobs []Job
	for try := range uint64(maxTries) {
		g := &generator{
			experiment: experiment,
			cell:       cell,
			random:     rand.New(rand.NewPCG(experiment.GetSeed()+try, h.Sum64())),
			kinds:      kindsOf(experiment),
		}
		jobs = g.jobs(run)
		if math.Abs(Offered(jobs, experiment, cell)/meanLoad(cell)-1) < tolerance {
			return jobs
		}
	}
	return jobs
}

// Offered is the work of the jobs over what the workers can do.
func Offered(jobs []Job, experiment *wire.Experiment, cell *wire.Cell) float64 {
	seconds := float64(cell.GetDurationMillis()) / 1000
	return Work(jobs).Seconds() / seconds / Capacity(experiment.GetWorkers())
}

// meanLoad is the load of a cell over its bursts.
func meanLoad(cell *wire.Cell) float64 {
	if cell.GetBurstPeriodMillis() == 0 {
		return cell.GetLoad()
	}
	share := float64(cell.GetBurstMillis()) / float64(cell.GetBurstPeriodMillis())
	return cell.GetBurstLoad()*share + cell.GetLoad()*(1-share)
}

// Capacity is the work per second that the workers can do, in seconds at
// speed 1.
func Capacity(workers []*wire.Worker) float64 {
	sum := 0.0
	for _, w := range workers {
		sum += w.GetSpeed() * float64(w.GetSlots())
	}
	return sum
}

func (g *generator) jobs(run string) []Job {
	var jobs []Job
	end := time.Duration(g.cell.GetDurationMillis()) * time.Millisecond
	peak := max(g.cell.GetLoad(), g.cell.GetBurstLoad())
	meanGap := g.meanWork() / (peak * Capacity(g.experiment.GetWorkers()))
	for at := g.gap(meanGap); at < end; at += g.gap(meanGap) {
		if g.random.Float64()*peak > g.loadAt(at) {
			continue // thinning makes the rate follow the load of the moment
		}
		job := g.job(at)
		job.Key = fmt.Sprintf("%s-%06d", run, len(jobs))
		job.Entry = len(jobs)
		jobs = append(jobs, job)
	}
	return jobs
}

func (g *generator) gap(mean float64) time.Duration {
	return time.Duration(g.random.ExpFloat64() * mean * float64(time.Second))
}

func (g *generator) loadAt(at time.Duration) float64 {
	period := time.Duration(g.cell.GetBurstPeriodMillis()) * time.Millisecond
	if period == 0 || at%period >= time.Duration(g.cell.GetBurstMillis())*time.Millisecond {
		return g.cell.GetLoad()
	}
	return g.cell.GetBurstLoad()
}

func (g *generator) job(at time.Duration) Job {
	q := g.pick()
	kind := g.kinds[q.GetService()+"/"+q.GetKind()]
	job := Job{
		At:         at,
		Service:    q.GetService(),
		Kind:       q.GetKind(),
		Team:       q.GetTeam(),
		Urgency:    kind.GetUrgency(),
		Idempotent: kind.GetIdempotent(),
		Deadline:   time.Duration(float64(q.GetDeadlineMillis()) * g.experiment.GetTimeScale() * float64(time.Millisecond)),
		Resubmit:   g.random.Float64() < g.cell.GetResubmit(),
		Cancel:     g.random.Float64() < g.cell.GetCancel(),
	}
	n := int(g.logUniform(float64(q.GetMinTasks()), float64(q.GetMaxTasks()+1)))
	for range min(n, int(q.GetMaxTasks())) {
		job.Runs = append(job.Runs, g.runTime(q))
	}
	return job
}

func (g *generator) pick() *wire.Request {
	at := g.random.Float64() * g.weights()
	for _, q := range g.experiment.GetRequests() {
		if at -= q.GetWeight(); at < 0 {
			return q
		}
	}
	return g.experiment.GetRequests()[0]
}

func (g *generator) weights() float64 {
	sum := 0.0
	for _, q := range g.experiment.GetRequests() {
		sum += q.GetWeight()
	}
	return sum
}

func (g *generator) runTime(q *wire.Request) time.Duration {
	millis := g.logUniform(q.GetMinRunMillis(), q.GetMaxRunMillis())
	if g.random.Float64() < q.GetTail() {
		millis = q.GetTailRunMillis()
	}
	return time.Duration(millis * g.experiment.GetTimeScale() * float64(time.Millisecond))
}

// logUniform draws a number whose logarithm is uniform between those of a and b.
func (g *generator) logUniform(a, b float64) float64 {
	return a * math.Pow(b/a, g.random.Float64())
}

// meanWork is the expected work of one job in seconds.
func (g *generator) meanWork() float64 {
	sum := 0.0
	for _, q := range g.experiment.GetRequests() {
		sum += q.GetWeight() * meanTasks(q) * MeanRunMillis(q)
	}
	return sum / g.weights() / 1000 * g.experiment.GetTimeScale()
}

func meanTasks(q *wire.Request) float64 {
	return logUniformMean(float64(q.GetMinTasks()), float64(q.GetMaxTasks()+1)) - 0.5
}

// MeanRunMillis is the expected run time of a task at speed 1, not scaled.
func MeanRunMillis(q *wire.Request) float64 {
	body := logUniformMean(q.GetMinRunMillis(), q.GetMaxRunMillis())
	return body*(1-q.GetTail()) + q.GetTailRunMillis()*q.GetTail()
}

func logUniformMean(a, b float64) float64 {
	if a == b {
		return a
	}
	return (b - a) / math.Log(b/a)
}

func kindsOf(experiment *wire.Experiment) map[string]*wire.Kind {
	all := map[string]*wire.Kind{}
	for _, service := range experiment.GetServices() {
		for _, kind := range service.GetKinds() {
			all[service.GetName()+"/"+kind.GetName()] = kind
		}
	}
	return all
}
