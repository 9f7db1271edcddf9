package experiment

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/caller"
	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/judge"
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/trace"
)

const (
	// metricsFlushDelay is longer than the interval at which processes report
	// metrics, so that counters read after it include everything.
	metricsFlushDelay = 1500 * time.Millisecond
	progressInterval  = 5 * time.Second
	controlHosts      = 1
)

// cellRun is the state of one cell while it runs.
type cellRun struct {
	runner     *Runner
	experiment *wire.Experiment
	cell       *wire.Cell
	fleet      *fleet.Fleet
	jobs       []trace.Job
}

func (r *Runner) runCell(ctx context.Context, experiment *wire.Experiment, cellSpec *wire.Cell, placement string) report.Cell {
	c := report.Cell{
		Name: cellSpec.GetName(), Placement: placement, Entries: entryCount(experiment, cellSpec), LoadAverage: report.LoadAverage(),
		Seconds: float64(cellSpec.GetDurationMillis()) / 1000,
	}
	run := &cellRun{runner: r, experiment: experiment, cell: cellSpec, jobs: trace.Generate(experiment, cellSpec, placement)}
	f, err := fleet.New(ctx, run.options(placement))
	if err != nil {
		c.Error = err.Error()
		return c
	}
	defer f.Close()
	run.fleet = f
	if err := f.WaitReady(ctx); err != nil {
		c.Error = err.Error()
		return c
	}
	f.WaitDirectoryStable(ctx)
	return run.measure(ctx, c)
}

func (r *cellRun) measure(ctx context.Context, c report.Cell) report.Cell {
	countersBefore, usesBefore := r.fleet.Counters(ctx), r.usages()
	answers := r.sendJobs(ctx)
	if ctx.Err() != nil {
		c.Error = "interrupted"
		return c
	}
	usesAfter := r.usages()
	time.Sleep(metricsFlushDelay)
	c.Jobs, c.Tasks = len(r.jobs), trace.Tasks(r.jobs)
	c.OfferedLoad = trace.Offered(r.jobs, r.experiment, r.cell)
	c.Verdict = judge.New(answers, r.fleet.Starts())
	c.Uses = usesSince(usesBefore, usesAfter)
	c = c.WithCounters(r.fleet.Counters(ctx).Without(countersBefore))
	healthy := r.experiment.GetWorkers()[r.cell.GetFailing():]
	c = c.WithAnswers(answers, r.jobs, healthy, time.Duration(r.experiment.GetWarmUpMillis())*time.Millisecond)
	all := c.Urgency("all")
	r.runner.logProgress("  %d jobs, %d complete, p50 %.1f ms (queue %.1f), p99 %.1f ms (queue %.1f), %+v",
		c.Jobs, all.Jobs, all.Response.P50, all.Central.P50, all.Response.P99, all.Central.P99, c.Verdict)
	return c
}

// sendJobs sends the jobs of the trace and meanwhile triggers the faults that
// the cell asks for.
func (r *cellRun) sendJobs(ctx context.Context) []caller.Answer {
	c := caller.New(r.fleet.EntryAddresses(), r.jobs)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.reportProgress(ctx, c)
	if at := r.cell.GetCancelAtMillis(); at > 0 {
		timer := time.AfterFunc(time.Duration(at)*time.Millisecond, c.CancelAll)
		defer timer.Stop()
	}
	if at := r.cell.GetKillEntryAtMillis(); at > 0 {
		timer := time.AfterFunc(time.Duration(at)*time.Millisecond, r.fleet.Entries[0].Kill)
		defer timer.Stop()
	}
	return c.Run(ctx)
}

// reportProgress writes a progress line every progressInterval until ctx ends.
func (r *cellRun) reportProgress(ctx context.Context, c *caller.Caller) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			sent, done := c.Progress()
			r.runner.logProgress("  %d of %d jobs sent, %d answered", sent, len(r.jobs), done)
		}
	}
}

func (r *cellRun) options(placement string) fleet.Options {
	return fleet.Options{
		Bin:        r.runner.bin,
		Controls:   controlHosts,
		Entries:    entryCount(r.experiment, r.cell),
		Placement:  placement,
		Workers:    r.experiment.GetWorkers(),
		Failing:    int(r.cell.GetFailing()),
		Stragglers: int(r.cell.GetStragglers()),
		Services:   r.services(),
		Teams:      r.experiment.GetTeams(),
		Delay:      time.Duration(r.experiment.GetDelayMicros()) * time.Microsecond,
	}
}

// services returns the services of the experiment. Their declared run times are
// multiplied by the time scale and by the cell's error factor, their deadlines
// by the time scale.
func (r *cellRun) services() []*wire.Service {
	factor := r.experiment.GetTimeScale()
	if r.cell.GetDeclaredError() > 0 {
		factor *= r.cell.GetDeclaredError()
	}
	var all []*wire.Service
	for _, service := range r.experiment.GetServices() {
		service = proto.Clone(service).(*wire.Service)
		for _, kind := range service.GetKinds() {
			kind.ExpectedRunMillis = max(1, int64(float64(kind.GetExpectedRunMillis())*factor))
			kind.DeadlineMillis = int64(float64(kind.GetDeadlineMillis()) * r.experiment.GetTimeScale())
		}
		all = append(all, service)
	}
	return all
}

func (r *cellRun) usages() []fleet.Usage {
	var all []fleet.Usage
	for _, p := range r.fleet.Processes() {
		usage, _ := p.Usage()
		usage.Name = p.Name
		all = append(all, usage)
	}
	return all
}

func usesSince(before, after []fleet.Usage) []report.Use {
	var all []report.Use
	for n, u := range after {
		if u.At.IsZero() {
			continue // the process has ended
		}
		u = u.Since(before[n])
		all = append(all, report.Use{Name: u.Name, CPUSeconds: u.CPU.Seconds(), RSSBytes: u.RSS, Bytes: u.Bytes})
	}
	return all
}

func entryCount(experiment *wire.Experiment, cell *wire.Cell) int {
	if cell.GetEntries() > 0 {
		return int(cell.GetEntries())
	}
	return int(experiment.GetEntries())
}
