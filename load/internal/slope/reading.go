package slope

import (
	"context"
	"strings"
	"time"

	"skylarklane.example/load/internal/fleet"
)

// reading is what the processes of a fleet have used, and served.
type reading struct {
	controls, entries []one
	host              one
}

// one is the reading of one process.
type one struct {
	usage    fleet.Usage
	requests float64
}

func readAll(ctx context.Context, f *fleet.Fleet) reading {
	var r reading
	for _, p := range f.Controls {
		r.controls = append(r.controls, readOne(p))
	}
	for _, p := range f.Entries {
		r.entries = append(r.entries, readOne(p))
	}
	if f.Host != nil {
		r.host = readOne(f.Host)
	}
	// The counters come after the usage, so that reading them is not counted.
	time.Sleep(flush)
	for n, p := range f.Controls {
		r.controls[n].requests = requests(ctx, p)
	}
	for n, p := range f.Entries {
		r.entries[n].requests = requests(ctx, p)
	}
	return r
}

func readOne(p *fleet.Process) one {
	usage, _ := p.Usage()
	return one{usage: usage}
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

func rolesBetween(before, after reading, p Point) []Role {
	roles := controlRoles(before.controls, after.controls)
	if len(after.entries) > 0 {
		roles = append(roles, mean(Entry, before.entries, after.entries))
	}
	if !after.host.usage.At.IsZero() {
		roles = append(roles, role(Agent, before.host.usage, after.host.usage, 0, p.Agents))
	}
	return roles
}

// controlRoles tells the leader, which used most processor time, from the mean
// of the others.
func controlRoles(before, after []one) []Role {
	leader := 0
	for n := range after {
		if after[n].usage.CPU-before[n].usage.CPU > after[leader].usage.CPU-before[leader].usage.CPU {
			leader = n
		}
	}
	roles := []Role{mean(Leader, before[leader:leader+1], after[leader:leader+1])}
	if len(after) > 1 {
		roles = append(roles, mean(Follower, without(before, leader), without(after, leader)))
	}
	return roles
}

func without(all []one, n int) []one {
	return append(append([]one(nil), all[:n]...), all[n+1:]...)
}

// mean is the mean use of the processes of one role.
func mean(name string, before, after []one) Role {
	sum := Role{Name: name}
	share := float64(len(after))
	for n := range after {
		r := role(name, before[n].usage, after[n].usage, after[n].requests-before[n].requests, 1)
		sum.CPU += r.CPU / share
		sum.RSSBytes += r.RSSBytes / share
		sum.BytesPerSecond += r.BytesPerSecond / share
		sum.RequestsPerSecond += r.RequestsPerSecond / share
	}
	return sum
}
