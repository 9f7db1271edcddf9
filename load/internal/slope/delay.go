package slope

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/report"
)

// Delay is the system's own part of the response to jobs of one task without
// length, sent one after the other, in milliseconds.
type Delay struct {
	Jobs    int                `json:"jobs"`
	Failed  int                `json:"failed"`
	Millis  report.Percentiles `json:"millis"`
	Average string             `json:"loadAverage"`
	Error   string             `json:"error,omitempty"`
}

// Delay measures jobs one after the other on eleven agents.
func (n *Runner) Delay(ctx context.Context, jobs int) Delay {
	n.say("own delay of %d jobs", jobs)
	d := Delay{Average: report.LoadAverage()}
	f, err := n.small(ctx)
	if err != nil {
		d.Error = err.Error()
		return d
	}
	defer f.Close()
	f.WaitCalm(ctx)
	flood := newFlood(f.EntryAddresses(), service, kind, "delay", 1)
	var took []time.Duration
	for d.Jobs = 0; d.Jobs < jobs && ctx.Err() == nil; d.Jobs++ {
		begin := time.Now()
		if !flood.send(d.Jobs) {
			d.Failed++
			continue
		}
		took = append(took, time.Since(begin))
	}
	d.Millis = report.Summarize(took)
	return d
}

// small starts one entry and eleven agent processes.
func (n *Runner) small(ctx context.Context) (*fleet.Fleet, error) {
	var workers []*wire.Worker
	for range keyAgents {
		workers = append(workers, &wire.Worker{Speed: 1, Slots: slots})
	}
	f, err := fleet.New(ctx, fleet.Options{
		Bin: n.bin, Controls: 1, Entries: 1, Workers: workers, Services: services(), Quiet: true,
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
