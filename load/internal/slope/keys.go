package slope

import (
	"context"
	"time"

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
	f, err := n.small(ctx)
	if err != nil {
		k.Error = err.Error()
		return k
	}
	defer f.Close()
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
