package placement

import "time"

// Busy is a slot that is expected to be free again.
type Busy struct {
	// FreeIn is the time until the slot is expected to be free.
	FreeIn time.Duration
	// Factor is the run time at its worker over that of the kind.
	Factor float64
}

// End is the time until a task that waits for the slot is expected to end.
func (b Busy) End(run time.Duration) time.Duration {
	return b.FreeIn + scale(run, b.Factor)
}

// overrunPart is the part of its expected run time that a task is taken to
// need still, once it has used nearly all of it.
const overrunPart = 4

// Remaining returns how long a task is expected to run on.
func Remaining(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, expected/overrunPart)
}

// Waits tells whether a task is expected to finish sooner on a busy slot than
// on a free one of the given factor. The tasks ahead take the busy slots in
// their order, one after the other and round after round.
func Waits(run time.Duration, factor float64, busy []Busy, ahead int) bool {
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
