package membership

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// dependency is the name of the control group in the logs of its loss and
// return.
const dependency = "control"

// SetSeeds replaces the control hosts from the settings, unless seeds is empty.
// The hosts reported by the control group are kept.
func (f *Follower) SetSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(seeds) > 0 {
		f.seeds = slices.Clone(seeds)
	}
}

// LastGrantAt returns when the control group last granted the lease, the zero
// time if never.
func (f *Follower) LastGrantAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastGrantAt
}

// ConfiguredAt returns when the version of the configuration last changed at
// this process, the zero time if it has received none.
func (f *Follower) ConfiguredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configuredAt
}

// EnableRejoin configures the follower to continue under a new incarnation once
// the member is declared dead. onRejoin is called with the new incarnation
// before it is announced. EnableRejoin must be called before Run.
func (f *Follower) EnableRejoin(onRejoin func(*wire.Incarnation)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onRejoin = onRejoin
}

// rejoin replaces the member's incarnation. It releases f.mu while it calls
// onRejoin.
func (f *Follower) rejoin() {
	old := f.member.GetIncarnation()
	inc := NewIncarnation(old.GetId())
	f.member = &wire.Member{
		Incarnation: inc,
		Role:        f.member.GetRole(),
		Address:     f.member.GetAddress(),
		DataCentre:  f.member.GetDataCentre(),
		Rack:        f.member.GetRack(),
		Leaving:     f.member.GetLeaving(),
	}
	f.joining = true
	f.validUntil = 0
	event.DeclaredDead.Log(context.Background(), f.log, slog.String("newIncarnation", inc.HexNumber()))
	f.mu.Unlock()
	f.onRejoin(inc)
	f.mu.Lock()
}

// ControlHosts returns the addresses of the control hosts to ask: those reported
// by the control group, then the seeds.
func (f *Follower) ControlHosts() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.controlHostsLocked()
}

// controlHostsLocked is ControlHosts for callers that hold f.mu.
func (f *Follower) controlHostsLocked() []string {
	all := slices.Clone(f.hosts)
	for _, seed := range f.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}

// setDisconnected records and logs that no control host grants a lease.
func (f *Follower) setDisconnected(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.disconnected || ctx.Err() != nil {
		return
	}
	f.disconnected = true
	event.DependencyLost.Log(ctx, f.log, slog.String("dependency", dependency), slog.Int("asked", len(f.controlHostsLocked())),
		slog.Int64("silentMillis", f.millisSinceGrant()), slog.Uint64("directory", f.directory.GetVersion()))
}

// setConnected records and logs that the control group has answered again: a
// host has granted a lease or declared the member dead.
func (f *Follower) setConnected() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.disconnected {
		return
	}
	f.disconnected = false
	event.DependencyRegained.Log(context.Background(), f.log, slog.String("dependency", dependency), slog.String("leader", f.leader))
}

// millisSinceGrant returns the time since a lease was last granted, 0 if
// never.
func (f *Follower) millisSinceGrant() int64 {
	if f.lastGrantAt.IsZero() {
		return 0
	}
	return time.Since(f.lastGrantAt).Milliseconds()
}

// requestForwarding makes the next renewals ask other hosts to forward them to
// the leader, because other hosts may reach it although this process can't.
func (f *Follower) requestForwarding() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forwardUntil = time.Now().Add(forwardDuration)
	f.leader = ""
}
