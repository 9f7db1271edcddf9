package lease

import "time"

// fence is the number that the orders of an agent carry. It starts at the time
// of day, so that it rises over the agent's restarts.
type fence struct {
	number uint64
	step   uint64
}

func newFence(now time.Time) fence {
	return fence{number: uint64(now.UnixMilli()), step: fenceStep}
}

// pass makes the fence higher than that of an order without an answer, which the
// worker refuses once it has seen a later order.
func (f *fence) pass() { f.number++ }

// raise makes the fence higher than one that a worker has refused. The steps
// grow, as clocks may have jumped back by any time since the last start.
func (f *fence) raise(refused uint64) bool {
	if refused < f.number {
		return false
	}
	f.number = refused + f.step
	f.step *= 2
	return true
}
