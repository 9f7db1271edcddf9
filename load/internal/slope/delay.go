package slope

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/report"
)

// Delay is the delay that the system itself adds: the response time of jobs of
// one task with run time 0, sent one after the other, in milliseconds.
type Delay struct {
	Jobs    int                `json:"jobs"`
	Failed  int                `json:"failed"`
	Millis  report.Percentiles `json:"millis"`
	Average string             `json:"loadAverage"`
	Error   string             `json:"error,omitempty"`
}

// Delay sends jobs one after the other to a system of eleven agents and measures
// the response times.
func (r *Runner) Delay(ctx context.Context, jobs int) Delay {
	r.logProgress("measuring the delay of the system with %d jobs", jobs)
	d := Delay{Average: report.LoadAverage()}
	f, err := r.startSmallFleet(ctx)
	if err != nil {
		d.Error = err.Error()
		return d
	}
	defer f.Close()
	f.WaitDirectoryStable(ctx)
	flood := newFlood(f.EntryAddresses(), service, kind, "delay", 1)
	var delays []time.Duration
	for d.Jobs = 0; d.Jobs < jobs && ctx.Err() == nil; d.Jobs++ {
		start := time.Now()
		if !flood.send(d.Jobs) {
			d.Failed++
			continue
		}
		delays = append(delays, time.Since(start))
	}
	d.Millis = report.Summarize(delays)
	return d
}

// startSmallFleet starts one control host, one entry and eleven agent processes.
func (r *Runner) startSmallFleet(ctx context.Context) (*fleet.Fleet, error) {
	var workers []*wire.Worker
	for range smallFleetAgents {
		workers = append(workers, &wire.Worker{Speed: 1, Slots: slots})
	}
	f, err := fleet.New(ctx, fleet.Options{
		Bin: r.bin, Controls: 1, Entries: 1, Workers: workers, Services: services(), Quiet: true,
	})
	if err != nil {
		return nil, err
	}
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}
