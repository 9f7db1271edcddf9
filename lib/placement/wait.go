package placement

import "time"

// Busy is a slot in use that is expected to become free.
type Busy struct {
	// FreeIn is the expected time until the slot is free.
	FreeIn time.Duration
	// Factor is the run time at the slot's worker divided by that of the kind.
	Factor float64
}

// End returns the expected time until a task that waits for the slot has ended.
func (b Busy) End(run time.Duration) time.Duration {
	return b.FreeIn + scale(run, b.Factor)
}

// overrunDivisor sets the least remaining time of a running task: its expected
// run time divided by this.
const overrunDivisor = 4

// Remaining returns how much longer a task is expected to run.
func Remaining(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, expected/overrunDivisor)
}

// ShouldWait reports whether a task is expected to end earlier on a busy slot
// than on a free one with the given factor. The tasks ahead of it take the busy
// slots round-robin.
func ShouldWait(run time.Duration, factor float64, busy []Busy, ahead int) bool {
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
