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
}

func newPublishedState() publishedState {
	return publishedState{state: &wire.WorkerState{}, wake: make(chan struct{})}
}

// refreshState recomputes the published state. Waiting watch calls are woken
// once for all changes within stateInterval, but at once if the worker starts or
// stops accepting runs.
func (k *Keeper) refreshState() {
	next := k.state()
	next.Version = k.publishedState.state.GetVersion()
	if proto.Equal(next, k.publishedState.state) {
		return
	}
	if !next.GetAccepting() && next.GetReason() != k.publishedState.state.GetReason() {
		k.logEvent(event.WorkerDraining, slog.String("worker", next.GetId()), reasonAttr(next.GetReason()), slog.Int("running", k.runCountLocked()))
	}
	urgent := next.GetAccepting() != k.publishedState.state.GetAccepting()
	next.Version++
	k.publishedState.state = next
	k.metrics.state(k.runCountLocked(), next.GetFree())
	switch {
	case urgent:
		k.publish()
	case !k.publishedState.pending:
		k.publishedState.pending = true
		time.AfterFunc(stateInterval, k.publishPending)
	}
}

func (k *Keeper) publishPending() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.publishedState.pending {
		k.publish()
	}
}

func (k *Keeper) publish() {
	k.publishedState.pending = false
	close(k.publishedState.wake)
	k.publishedState.wake = make(chan struct{})
}

func (k *Keeper) state() *wire.WorkerState {
	reason := k.refusalReason()
	w := &wire.WorkerState{Accepting: reason == "", Reason: reason}
	inc := k.incarnation
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
	return w
}

// refusalReason returns the reason to refuse all new runs, or an empty
// string.
func (k *Keeper) refusalReason() string {
	inc := k.incarnation
	switch {
	case inc == nil:
		return "noWorker"
	case k.ctx == nil || k.shuttingDown:
		return "leaving"
	case inc.departed:
		return "workerLeft"
	case inc.unannounced:
		return "workerUnannounced"
	case inc.announcement.Draining:
		return "workerDraining"
	case inc.mismatched:
		return "workerReplaced"
	case k.isSilent(inc):
		return "workerSilent"
	case !inc.cleared || len(inc.orphans) > 0:
		return "clearing"
	case inc.hasUnresolvedStart():
		return "workerUnanswering"
	}
	return ""
}

// isSilent reports whether the worker has not answered a hold for
// SilenceTimeout. The lease of a silent worker isn't extended.
func (k *Keeper) isSilent(inc *incarnation) bool {
	return k.monotonic() > inc.repliedAt+k.cfg.SilenceTimeout
}
