package lease

import "time"

// fence is the fencing token that the agent's orders carry. It starts at the
// time of day, so that it grows across restarts of the agent.
type fence struct {
	number uint64
	step   uint64
}

func newFence(now time.Time) fence {
	return fence{number: uint64(now.UnixMilli()), step: fenceStep}
}

// increment raises the fence above that of an unanswered order; the worker
// refuses that order once it has seen a later one.
func (f *fence) increment() { f.number++ }

// raise sets the fence above one that a worker has refused, and reports whether
// it wasn't higher already. The step doubles each time, because the time of day
// may have been set back by any amount since the agent last started.
func (f *fence) raise(refused uint64) bool {
	if refused < f.number {
		return false
	}
	f.number = refused + f.step
	f.step *= 2
	return true
}
