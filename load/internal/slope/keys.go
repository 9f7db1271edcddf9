package slope

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/fleet"
)

const (
	keyAgents  = 11
	keyTimeout = 90 * time.Second
	// copies of each record.
	copies = 3
)

// Keys measures what one record of the ledger takes at an agent: eleven agent
// processes take jobs of one task each.
func (n *Runner) Keys(ctx context.Context, jobs int) Keys {
	n.say("%d keys on %d agents", jobs, keyAgents)
	k := Keys{Agents: keyAgents, Jobs: jobs}
	var workers []*wire.Worker
	for range keyAgents {
		workers = append(workers, &wire.Worker{Speed: 1, Slots: slots})
	}
	f, err := fleet.New(ctx, fleet.Options{
		Bin: n.bin, Controls: 1, Entries: 1, Workers: workers, Services: services(), Quiet: true,
	})
	if err == nil {
		defer f.Close()
		err = f.WaitReady(ctx)
	}
	if err != nil {
		k.Error = err.Error()
		return k
	}
	flood := newFlood(f.EntryAddresses(), service, kind, "keys", 1)
	flood.runFor(ctx, busyCallers, jobs/10, keyTimeout)
	k.RSSBefore, k.EntryBefore = meanRSS(f.Agents), meanRSS(f.Entries)
	flood = newFlood(f.EntryAddresses(), service, kind, "more", 1)
	flood.runFor(ctx, busyCallers, jobs, keyTimeout)
	k.Jobs = int(flood.done.Load())
	k.RSSAfter, k.EntryAfter = meanRSS(f.Agents), meanRSS(f.Entries)
	k.BytesPerRecord = (k.RSSAfter - k.RSSBefore) * keyAgents / copies / float64(max(k.Jobs, 1))
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
