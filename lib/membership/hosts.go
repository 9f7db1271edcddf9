package membership

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// dependency is what a member loses with its lease.
const dependency = "control"

// SetSeeds puts other control hosts in the place of those of the settings.
// Those that the group has named stay known.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(seeds) > 0 {
		f.seeds = slices.Clone(seeds)
	}
}

// HeardAt returns when the control group last answered, the zero time if never.
func (f *Follower) HeardAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heardAt
}

// ConfiguredAt returns when the configuration last changed here, the zero time
// if none is known.
func (f *Follower) ConfiguredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configuredAt
}

// Rejoin has a member that is declared dead go on under a new incarnation,
// which f is told of before it is announced. Call it before Run.
func (f *Follower) Rejoin(rejoined func(*wire.Incarnation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejoined = rejoined
}

// rejoin makes this member another incarnation. It gives f.mu free while it
// tells of it.
func (f *Follower) rejoin() {
	old := f.member.GetIncarnation()
	who := NewIncarnation(old.GetId())
	f.member = &wire.Member{
		Incarnation: who,
		Role:        f.member.GetRole(),
		Address:     f.member.GetAddress(),
		DataCentre:  f.member.GetDataCentre(),
		Rack:        f.member.GetRack(),
		Leaving:     f.member.GetLeaving(),
	}
	f.joining = true
	f.validUntil = time.Time{}
	event.DeclaredDead.Log(context.Background(), f.log, slog.String("newIncarnation", who.Life()))
	f.mu.Unlock()
	f.rejoined(who)
	f.mu.Lock()
}

// ControlHosts lists the control hosts to ask: those that the group has named, and
// the seeds.
func (f *Follower) ControlHosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.allAddresses()
}

// allAddresses lists the hosts that the group has named, and the seeds.
func (f *Follower) allAddresses() []string {
	all := slices.Clone(f.hosts)
	for _, seed := range f.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}

// lose takes note that no control host grants a lease.
func (f *Follower) lose(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	event.DependencyLost.Log(ctx, f.log, slog.String("dependency", dependency), slog.Int("asked", len(f.allAddresses())),
		slog.Int64("silentMillis", f.silentMillis()), slog.Uint64("directory", f.directory.GetVersion()))
}

// regain takes note that one does again.
func (f *Follower) regain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lost {
		return
	}
	f.lost = false
	event.DependencyRegained.Log(context.Background(), f.log, slog.String("dependency", dependency), slog.String("leader", f.leader))
}

// silentMillis is how long no control host has granted a lease, 0 where none
// ever did.
func (f *Follower) silentMillis() int64 {
	if f.heardAt.IsZero() {
		return 0
	}
	return time.Since(f.heardAt).Milliseconds()
}

// forward has the next renewals passed on to the leader: the link to it may be
// cut while other hosts reach it.
func (f *Follower) forward() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forwardUntil = time.Now().Add(forwardTime)
	f.leader = ""
}
