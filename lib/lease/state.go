package lease

import (
	"log/slog"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// speedUnit is the unit of a speed on the wire.
const speedUnit = 1000

// publishedState is the state of the worker as reported to entries.
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

// refreshState recomputes the published state. Waiting watchers are woken
// once for all changes within stateInterval; a change of whether runs are
// accepted wakes them at once.
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
	l := k.incarnation
	if l == nil {
		return w
	}
	w.Id = l.name
	w.Service = l.announcement.Service
	w.Capacity = l.announcement.capacity().Wire()
	w.Free = clampToZero(l.free()).Wire()
	w.Labels = l.announcement.Labels
	w.Cleared = l.cleared
	w.Speed = int32(math.Round(speedUnit * l.speed.Log))
	w.TimedRuns = uint32(l.speed.N)
	return w
}

// refusalReason returns the reason to refuse all new runs, or an empty
// string.
func (k *Keeper) refusalReason() string {
	l := k.incarnation
	switch {
	case l == nil:
		return "noWorker"
	case k.ctx == nil || k.shuttingDown:
		return "leaving"
	case l.departed:
		return "workerLeft"
	case l.unannounced:
		return "workerUnannounced"
	case l.announcement.Draining:
		return "workerDraining"
	case l.mismatched:
		return "workerReplaced"
	case k.isSilent(l):
		return "workerSilent"
	case !l.cleared || len(l.orphans) > 0:
		return "clearing"
	case l.hasUnresolvedStart():
		return "workerUnanswering"
	}
	return ""
}

// isSilent reports whether the worker has left holds unanswered for so long
// that its lease isn't extended any more.
func (k *Keeper) isSilent(l *incarnation) bool {
	return k.monotonic() > l.repliedAt+k.cfg.SilenceTimeout
}
