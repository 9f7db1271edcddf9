package placement

import "time"

// BusySlot is a slot in use.
type BusySlot struct {
	// FreeIn is the expected time until the slot becomes free.
	FreeIn time.Duration
	// Factor is the run time of a task at the slot's worker divided by that at a
	// worker with factor 1.
	Factor float64
}

// End returns the expected time until a task that waits for the slot has ended.
// run is its run time at a worker with factor 1.
func (b BusySlot) End(run time.Duration) time.Duration {
	return b.FreeIn + scale(run, b.Factor)
}

// overrunDivisor sets the least remaining time that is expected of a running
// task, however long it has run: its expected run time divided by overrunDivisor.
const overrunDivisor = 4

// Remaining returns how much longer a task is expected to run.
func Remaining(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, expected/overrunDivisor)
}

// ShouldWait reports whether a task is expected to end earlier on a busy slot
// than on a free one with the given factor. ahead is the number of tasks that wait
// for the busy slots before it; they take the slots round-robin.
func ShouldWait(run time.Duration, factor float64, busy []BusySlot, ahead int) bool {
	if len(busy) == 0 {
		return false
	}
	next := busy[ahead%len(busy)]
	rounds := time.Duration(1 + ahead/len(busy))
	return next.FreeIn+rounds*scale(run, next.Factor) < scale(run, factor)
}

func scale(run time.Duration, factor float64) time.Duration {
	return time.Duration(float64(run) * factor)
}
