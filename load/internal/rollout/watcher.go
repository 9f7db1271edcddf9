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

// timedChange is a change for which the time until it is in force is measured.
type timedChange struct {
	version    uint64
	acceptedAt time.Time
	// directory is the first directory version seen that contains the change; 0
	// if none was seen yet.
	directory uint64
}

// watcher polls the control hosts for the directory version of each member.
type watcher struct {
	fleet    *fleet.Fleet
	controls []string

	mu             sync.Mutex
	pending        []timedChange
	delays         []time.Duration
	reverted       int
	memberVersions map[uint64]uint64
	hostVersions   map[string]uint64
}

func newWatcher(f *fleet.Fleet) *watcher {
	return &watcher{fleet: f, controls: f.ControlAddresses(), memberVersions: map[uint64]uint64{}, hostVersions: map[string]uint64{}}
}

// expect measures the time from acceptedAt until the change with this version is
// in force.
func (w *watcher) expect(version uint64, acceptedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, timedChange{version: version, acceptedAt: acceptedAt})
}

// waitPending waits until no change is pending, but no longer than d.
func (w *watcher) waitPending(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	for ctx.Err() == nil && w.pendingCount() > 0 {
		time.Sleep(watchInterval)
	}
}

func (w *watcher) pendingCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

func (w *watcher) summary() (inForce report.Percentiles, timed, late, reverted int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return report.Summarize(w.delays), len(w.delays), len(w.pending), w.reverted
}

func (w *watcher) poll(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.pollHosts(ctx)
		}
	}
}

func (w *watcher) pollHosts(ctx context.Context) {
	for _, address := range w.controls {
		status, err := w.fleet.Status(ctx, address)
		if err != nil {
			continue
		}
		w.addStatus(status, time.Now())
	}
}

// addStatus processes the status of one host. Only the leader knows the versions
// of the members.
func (w *watcher) addStatus(status *wire.StatusReply, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkHost(status)
	if !status.GetCurrent() || len(status.GetMembers()) == 0 {
		return
	}
	oldest := w.oldest(status)
	directory := status.GetDirectory()
	stillPending := w.pending[:0]
	for _, p := range w.pending {
		if p.directory == 0 && directory.GetConfigVersion() >= p.version {
			p.directory = directory.GetVersion()
		}
		if p.directory > 0 && oldest >= p.directory {
			w.delays = append(w.delays, now.Sub(p.acceptedAt))
			continue
		}
		stillPending = append(stillPending, p)
	}
	w.pending = stillPending
}

// checkHost counts a revert if a host's accepted configuration is older than
// before. A status that is not current is ignored: a restarted host is not
// current until it has caught up.
func (w *watcher) checkHost(status *wire.StatusReply) {
	if !status.GetCurrent() {
		return
	}
	version := status.GetDirectory().GetConfigVersion()
	if version < w.hostVersions[status.GetId()] {
		w.reverted++
	}
	w.hostVersions[status.GetId()] = version
}

// oldest returns the oldest directory version of a member, and counts members
// that went back to an older version.
func (w *watcher) oldest(status *wire.StatusReply) uint64 {
	oldest := status.GetDirectory().GetVersion()
	for _, m := range status.GetMembers() {
		number := m.GetMember().GetIncarnation().GetNumber()
		version := m.GetDirectoryVersion()
		if version < w.memberVersions[number] && version > 0 {
			w.reverted++
		}
		if version > 0 {
			w.memberVersions[number] = version
		}
		oldest = min(oldest, version)
	}
	return oldest
}
