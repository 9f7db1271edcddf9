package slope

import (
	"context"
	"time"

	"skylarklane.example/load/internal/fleet"
)

const (
	smallFleetAgents  = 11
	recordJobsTimeout = 90 * time.Second
	replicasPerRecord = 3
)

// Keys measures the memory of one ledger record at an agent, from the growth of
// eleven agent processes while jobs of one task each are run.
func (r *Runner) Keys(ctx context.Context, jobs int) Keys {
	r.logProgress("measuring the memory of ledger records: %d jobs on %d agents", jobs, smallFleetAgents)
	k := Keys{Agents: smallFleetAgents, Jobs: jobs}
	f, err := r.startSmallFleet(ctx)
	if err != nil {
		k.Error = err.Error()
		return k
	}
	defer f.Close()
	flood := newFlood(f.EntryAddresses(), service, kind, "keys", 1)
	flood.runFor(ctx, busyCallers, jobs/10, recordJobsTimeout)
	k.RSSBefore, k.EntryBefore = meanRSS(f.Agents), meanRSS(f.Entries)
	flood = newFlood(f.EntryAddresses(), service, kind, "more", 1)
	flood.runFor(ctx, busyCallers, jobs, recordJobsTimeout)
	k.Jobs = int(flood.done.Load())
	k.RSSAfter, k.EntryAfter = meanRSS(f.Agents), meanRSS(f.Entries)
	k.BytesPerRecord = (k.RSSAfter - k.RSSBefore) * smallFleetAgents / replicasPerRecord / float64(max(k.Jobs, 1))
	return k
}

func meanRSS(processes []*fleet.Process) float64 {
	sum := 0.0
	for _, p := range processes {
		usage, _ := p.Usage()
		sum += float64(usage.RSS)
	}
	return sum / float64(max(len(processes), 1))
}
