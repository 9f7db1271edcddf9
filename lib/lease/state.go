package lease

import (
	"log/slog"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// thousand is the unit of a speed on the wire.
const thousand = 1000

// board is the agent's word on its worker, and who waits for it.
type board struct {
	state   *wire.WorkerState
	pending bool
	// wake is closed, and made anew, when changes are published.
	wake chan struct{}
}

func newBoard() board {
	return board{state: &wire.WorkerState{}, wake: make(chan struct{})}
}

// changed renews the state. Those who wait for it are woken once for all
// changes within stateInterval.
func (k *Keeper) changed() {
	next := k.state()
	next.Version = k.board.state.GetVersion()
	if proto.Equal(next, k.board.state) {
		return
	}
	if !next.GetAccepting() && next.GetReason() != k.board.state.GetReason() {
		k.tell(event.WorkerDraining, slog.String("worker", next.GetId()), reasonAttr(next.GetReason()), slog.Int("running", k.left()))
	}
	sudden := next.GetAccepting() != k.board.state.GetAccepting()
	next.Version++
	k.board.state = next
	k.metrics.state(k.left(), next.GetFree())
	switch {
	case sudden:
		k.publish()
	case !k.board.pending:
		k.board.pending = true
		time.AfterFunc(stateInterval, k.runPublish)
	}
}

func (k *Keeper) runPublish() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.board.pending {
		k.publish()
	}
}

func (k *Keeper) publish() {
	k.board.pending = false
	close(k.board.wake)
	k.board.wake = make(chan struct{})
}

func (k *Keeper) state() *wire.WorkerState {
	reason := k.refusing()
	w := &wire.WorkerState{Accepting: reason == "", Reason: reason}
	l := k.life
	if l == nil {
		return w
	}
	w.Id = l.name
	w.Service = l.said.Service
	w.Capacity = l.said.capacity().Wire()
	w.Free = notBelowZero(l.free()).Wire()
	w.Labels = l.said.Labels
	w.Cleared = l.cleared
	w.Speed = int32(math.Round(thousand * l.speed.Log))
	w.TimedRuns = uint32(l.speed.N)
	return w
}

// refusing is the reason for which new runs are refused, empty if they aren't.
func (k *Keeper) refusing() string {
	l := k.life
	switch {
	case l == nil:
		return "noWorker"
	case k.ctx == nil || k.leaving:
		return "leaving"
	case l.left:
		return "workerLeft"
	case l.unannounced:
		return "workerUnannounced"
	case l.said.Draining:
		return "workerDraining"
	case l.refused:
		return "workerReplaced"
	case k.silent(l):
		return "workerSilent"
	case !l.cleared || len(l.strays) > 0:
		return "clearing"
	case l.isUnsettled():
		return "workerUnanswering"
	}
	return ""
}

// silent tells whether the worker has left holds unanswered for so long that
// its lease isn't extended any more.
func (k *Keeper) silent(l *life) bool {
	return k.steady() > l.repliedAt+k.cfg.Patience
}
