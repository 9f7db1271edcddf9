package slope

import (
	"context"
	"strings"
	"time"

	"skylarklane.example/load/internal/fleet"
)

// fleetReading holds the usage and the served requests of the processes of a
// fleet.
type fleetReading struct {
	controls, entries []processReading
	host              processReading
}

// processReading holds the usage and the served requests of one process.
type processReading struct {
	usage    fleet.Usage
	requests float64
}

func readFleet(ctx context.Context, f *fleet.Fleet) fleetReading {
	var r fleetReading
	for _, p := range f.Controls {
		r.controls = append(r.controls, readProcess(p))
	}
	for _, p := range f.Entries {
		r.entries = append(r.entries, readProcess(p))
	}
	if f.Host != nil {
		r.host = readProcess(f.Host)
	}
	// The counters are read after the usage, so that the usage does not include
	// the cost of reading them.
	time.Sleep(metricsFlushDelay)
	for n, p := range f.Controls {
		r.controls[n].requests = requests(ctx, p)
	}
	for n, p := range f.Entries {
		r.entries[n].requests = requests(ctx, p)
	}
	return r
}

func readProcess(p *fleet.Process) processReading {
	usage, _ := p.Usage()
	return processReading{usage: usage}
}

func requests(ctx context.Context, p *fleet.Process) float64 {
	counters, err := p.Counters(ctx)
	if err != nil {
		return 0
	}
	sum := 0.0
	for name, value := range counters {
		if strings.Contains(name, "_requests{") {
			sum += value
		}
	}
	return sum
}

func rolesBetween(before, after fleetReading, p Point) []Role {
	roles := controlRoles(before.controls, after.controls)
	if len(after.entries) > 0 {
		roles = append(roles, meanRole(Entry, before.entries, after.entries))
	}
	if !after.host.usage.At.IsZero() {
		roles = append(roles, newRole(Agent, before.host.usage, after.host.usage, 0, p.Agents))
	}
	return roles
}

// controlRoles returns the usage of the leader, which is taken to be the host
// that used the most processor time, and the mean of the others.
func controlRoles(before, after []processReading) []Role {
	leader := 0
	for n := range after {
		if after[n].usage.CPU-before[n].usage.CPU > after[leader].usage.CPU-before[leader].usage.CPU {
			leader = n
		}
	}
	roles := []Role{meanRole(Leader, before[leader:leader+1], after[leader:leader+1])}
	if len(after) > 1 {
		roles = append(roles, meanRole(Follower, withoutIndex(before, leader), withoutIndex(after, leader)))
	}
	return roles
}

func withoutIndex(all []processReading, n int) []processReading {
	return append(append([]processReading(nil), all[:n]...), all[n+1:]...)
}

// meanRole returns the mean usage of the processes of one role.
func meanRole(name string, before, after []processReading) Role {
	sum := Role{Name: name}
	count := float64(len(after))
	for n := range after {
		r := newRole(name, before[n].usage, after[n].usage, after[n].requests-before[n].requests, 1)
		sum.CPU += r.CPU / count
		sum.RSSBytes += r.RSSBytes / count
		sum.BytesPerSecond += r.BytesPerSecond / count
		sum.RequestsPerSecond += r.RequestsPerSecond / count
	}
	return sum
}
