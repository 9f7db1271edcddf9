package rollout

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/report"
)

const watchInterval = 50 * time.Millisecond

// expected is a change whose way into force is timed.
type expected struct {
	version    uint64
	acceptedAt time.Time
	// directory is the first directory version seen that holds the change.
	directory uint64
}

// watch asks the control hosts again and again what each member has.
type watch struct {
	fleet    *fleet.Fleet
	controls []string

	mu       sync.Mutex
	pending  []expected
	lags     []time.Duration
	reverted int
	members  map[uint64]uint64
	hosts    map[string]uint64
}

func newWatch(f *fleet.Fleet) *watch {
	return &watch{fleet: f, controls: f.ControlAddresses(), members: map[uint64]uint64{}, hosts: map[string]uint64{}}
}

// expect times the change with this version from acceptedAt on.
func (w *watch) expect(version uint64, acceptedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, expected{version: version, acceptedAt: acceptedAt})
}

// drain waits until no change is pending, at most for d.
func (w *watch) drain(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for ctx.Err() == nil && w.left() > 0 {
		time.Sleep(watchInterval)
	}
}

func (w *watch) left() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

func (w *watch) summary() (inForce report.Percentiles, timed, late, reverted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return report.Summarize(w.lags), len(w.lags), len(w.pending), w.reverted
}

func (w *watch) loop(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.ask(ctx)
		}
	}
}

func (w *watch) ask(ctx context.Context) {
	for _, address := range w.controls {
		status, err := w.fleet.Status(ctx, address)
		if err != nil {
			continue
		}
		w.take(status, time.Now())
	}
}

// take takes one host's status in. Only the leader hears of the members.
func (w *watch) take(status *wire.StatusReply, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkHost(status)
	if !status.GetCurrent() || len(status.GetMembers()) == 0 {
		return
	}
	slowest := w.slowest(status)
	directory := status.GetDirectory()
	left := w.pending[:0]
	for _, p := range w.pending {
		if p.directory == 0 && directory.GetConfigVersion() >= p.version {
			p.directory = directory.GetVersion()
		}
		if p.directory > 0 && slowest >= p.directory {
			w.lags = append(w.lags, now.Sub(p.acceptedAt))
			continue
		}
		left = append(left, p)
	}
	w.pending = left
}

// checkHost notes where a host's accepted configuration went back. A restarted
// host says nothing as current before it has caught up.
func (w *watch) checkHost(status *wire.StatusReply) {
	if !status.GetCurrent() {
		return
	}
	version := status.GetDirectory().GetConfigVersion()
	if version < w.hosts[status.GetId()] {
		w.reverted++
	}
	w.hosts[status.GetId()] = version
}

// slowest returns the oldest directory version of a member, and notes members
// that went back.
func (w *watch) slowest(status *wire.StatusReply) uint64 {
	slowest := status.GetDirectory().GetVersion()
	for _, m := range status.GetMembers() {
		number := m.GetMember().GetIncarnation().GetNumber()
		version := m.GetDirectoryVersion()
		if version < w.members[number] && version > 0 {
			w.reverted++
		}
		if version > 0 {
			w.members[number] = version
		}
		slowest = min(slowest, version)
	}
	return slowest
}
