package lease

import (
	"log/slog"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// speedScale is the factor by which a speed is scaled on the wire, where it is
// an integer.
const speedScale = 1000

// publishedState is the state of the worker as it is reported to entries.
type publishedState struct {
	state *wire.WorkerState
	// pending is set while changes wait to be published.
	pending bool
	// wake is closed and replaced when changes are published.
	wake chan struct{}
	// urgentVersion is the version with which the worker last started or stopped
	// accepting runs.
	urgentVersion uint64
}

func newPublishedState() publishedState {
	return publishedState{state: &wire.WorkerState{}, wake: make(chan struct{})}
}

// refreshState starts queued runs for which capacity is free, and recomputes the
// published state. Waiting watch calls are woken
// once for all changes within stateInterval, but at once if the worker starts or
// stops accepting runs.
func (m *Manager) refreshState() {
	m.endIdle()
	m.serveQueue()
	next := m.state()
	next.Version = m.publishedState.state.GetVersion()
	if proto.Equal(next, m.publishedState.state) {
		return
	}
	if !next.GetAccepting() && next.GetReason() != m.publishedState.state.GetReason() {
		m.logEvent(event.WorkerDraining, slog.String("worker", next.GetId()), reasonAttr(next.GetReason()), slog.Int("running", m.runCountLocked()))
	}
	urgent := next.GetAccepting() != m.publishedState.state.GetAccepting()
	next.Version++
	m.publishedState.state = next
	if urgent {
		m.publishedState.urgentVersion = next.Version
	}
	m.metrics.state(m.runCountLocked(), m.queuedCountLocked(), next.GetFree())
	switch {
	case urgent:
		m.publish()
	case !m.publishedState.pending:
		m.publishedState.pending = true
		time.AfterFunc(stateInterval, m.publishPending)
	}
}

func (m *Manager) publishPending() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.publishedState.pending {
		m.publish()
	}
}

func (m *Manager) publish() {
	m.publishedState.pending = false
	close(m.publishedState.wake)
	m.publishedState.wake = make(chan struct{})
}

func (m *Manager) state() *wire.WorkerState {
	reason := m.refusalReason()
	w := &wire.WorkerState{Accepting: reason == "", Reason: reason}
	inc := m.incarnation
	if inc == nil {
		return w
	}
	w.Id = inc.name
	w.Service = inc.announcement.Service
	w.Capacity = inc.announcement.capacity().ToWire()
	w.Free = clampToZero(inc.free()).ToWire()
	w.Labels = inc.announcement.Labels
	w.Cleared = inc.cleared
	w.Speed = int32(math.Round(speedScale * inc.speed.Log))
	w.TimedRuns = uint32(inc.speed.N)
	for _, one := range inc.queue.Work() {
		w.Waiting = append(w.Waiting, &wire.WaitingRuns{Priority: one.Priority, Runs: one.Runs, CpuMillis: one.CPUMillis})
	}
	return w
}

// refusalReason returns the reason to refuse all new runs, or an empty
// string.
func (m *Manager) refusalReason() string {
	inc := m.incarnation
	switch {
	case inc == nil:
		return "noWorker"
	case m.ctx == nil || m.shuttingDown:
		return "leaving"
	case m.isEvacuated():
		return wire.ReasonEvacuated
	case inc.departed:
		return "workerLeft"
	case inc.unannounced:
		return "workerUnannounced"
	case inc.announcement.Draining:
		return "workerDraining"
	case inc.mismatched:
		return "workerReplaced"
	case inc.disconnected:
		return "workerDisconnected"
	case m.isSilent(inc):
		return "workerSilent"
	case !inc.cleared || len(inc.orphans) > 0:
		return "clearing"
	case inc.hasUnresolvedStart():
		return "workerUnanswering"
	}
	return ""
}

// isEvacuated reports whether the agent's data centre is evacuated.
func (m *Manager) isEvacuated() bool { return m.cfg.Evacuated != nil && m.cfg.Evacuated() }

// isSilent reports whether the worker has not answered a hold for
// SilenceTimeout. The lease of a silent worker isn't extended.
func (m *Manager) isSilent(inc *incarnation) bool {
	return m.monotonic() > inc.repliedAt+m.cfg.SilenceTimeout
}
