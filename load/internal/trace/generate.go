package trace

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/wire"
)

// generator draws the jobs of one cell at random.
type generator struct {
	experiment *wire.Experiment
	cell       *wire.Cell
	random     *rand.Rand
	kinds      map[string]*wire.Kind
}

const (
	// loadTolerance is the largest relative difference between the load of a
	// trace and that of its cell.
	loadTolerance = 0.02
	maxAttempts   = 1000
)

// Generate returns the jobs of a cell in the order of their send times. The load
// of short traces varies widely, so traces are drawn until the load of one is
// within loadTolerance of the cell's; after maxAttempts the last one is taken.
// Equal arguments give equal jobs. Run is the prefix of the jobs' keys, which
// must differ between runs.
func Generate(experiment *wire.Experiment, cell *wire.Cell, run string) []Job {
	cellHash := fnv.New64a()
	_, _ = cellHash.Write([]byte(cell.GetName()))
	var jobs []Job
	for attempt := range uint64(maxAttempts) {
		g := &generator{
			experiment: experiment,
			cell:       cell,
			random:     rand.New(rand.NewPCG(experiment.GetSeed()+attempt, cellHash.Sum64())),
			kinds:      kindsByName(experiment),
		}
		jobs = g.jobs(run)
		if math.Abs(Offered(jobs, experiment, cell)/meanLoad(cell)-1) < loadTolerance {
			return jobs
		}
	}
	return jobs
}

// Offered returns the work of the jobs divided by the capacity of the workers
// over the duration of the cell.
func Offered(jobs []Job, experiment *wire.Experiment, cell *wire.Cell) float64 {
	seconds := float64(cell.GetDurationMillis()) / 1000
	return Work(jobs).Seconds() / seconds / Capacity(experiment.GetWorkers())
}

// meanLoad returns the mean load of a cell, with and without bursts.
func meanLoad(cell *wire.Cell) float64 {
	if cell.GetBurstPeriodMillis() == 0 {
		return cell.GetLoad()
	}
	share := float64(cell.GetBurstMillis()) / float64(cell.GetBurstPeriodMillis())
	return cell.GetBurstLoad()*share + cell.GetLoad()*(1-share)
}

// Capacity returns the work per second that the workers can do, in seconds of
// run time at speed 1.
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
			continue // jobs are drawn at the peak rate and thinned to the current load
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
	request := g.pickRequest()
	kind := g.kinds[request.GetService()+"/"+request.GetKind()]
	job := Job{
		At:         at,
		Service:    request.GetService(),
		Kind:       request.GetKind(),
		Team:       request.GetTeam(),
		Urgency:    kind.GetUrgency(),
		Idempotent: kind.GetIdempotent(),
		Deadline:   time.Duration(float64(request.GetDeadlineMillis()) * g.experiment.GetTimeScale() * float64(time.Millisecond)),
		Resubmit:   g.random.Float64() < g.cell.GetResubmit(),
		Cancel:     g.random.Float64() < g.cell.GetCancel(),
	}
	n := int(g.logUniform(float64(request.GetMinTasks()), float64(request.GetMaxTasks()+1)))
	for range min(n, int(request.GetMaxTasks())) {
		job.Runs = append(job.Runs, g.runTime(request))
	}
	return job
}

func (g *generator) pickRequest() *wire.Request {
	remaining := g.random.Float64() * g.totalWeight()
	for _, q := range g.experiment.GetRequests() {
		if remaining -= q.GetWeight(); remaining < 0 {
			return q
		}
	}
	return g.experiment.GetRequests()[0]
}

func (g *generator) totalWeight() float64 {
	sum := 0.0
	for _, q := range g.experiment.GetRequests() {
		sum += q.GetWeight()
	}
	return sum
}

func (g *generator) runTime(request *wire.Request) time.Duration {
	millis := g.logUniform(request.GetMinRunMillis(), request.GetMaxRunMillis())
	if g.random.Float64() < request.GetTail() {
		millis = request.GetTailRunMillis()
	}
	return time.Duration(millis * g.experiment.GetTimeScale() * float64(time.Millisecond))
}

// logUniform draws a number whose logarithm is uniform between those of a and b.
func (g *generator) logUniform(a, b float64) float64 {
	return a * math.Pow(b/a, g.random.Float64())
}

// meanWork returns the expected work of one job in seconds at speed 1.
func (g *generator) meanWork() float64 {
	sum := 0.0
	for _, q := range g.experiment.GetRequests() {
		sum += q.GetWeight() * meanTasks(q) * MeanRunMillis(q)
	}
	return sum / g.totalWeight() / 1000 * g.experiment.GetTimeScale()
}

func meanTasks(request *wire.Request) float64 {
	return logUniformMean(float64(request.GetMinTasks()), float64(request.GetMaxTasks()+1)) - 0.5
}

// MeanRunMillis returns the expected run time of a task at speed 1, without the
// time scale of the experiment.
func MeanRunMillis(request *wire.Request) float64 {
	regular := logUniformMean(request.GetMinRunMillis(), request.GetMaxRunMillis())
	return regular*(1-request.GetTail()) + request.GetTailRunMillis()*request.GetTail()
}

func logUniformMean(a, b float64) float64 {
	if a == b {
		return a
	}
	return (b - a) / math.Log(b/a)
}

func kindsByName(experiment *wire.Experiment) map[string]*wire.Kind {
	all := map[string]*wire.Kind{}
	for _, service := range experiment.GetServices() {
		for _, kind := range service.GetKinds() {
			all[service.GetName()+"/"+kind.GetName()] = kind
		}
	}
	return all
}
