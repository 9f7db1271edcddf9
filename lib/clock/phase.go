package clock

import (
	"math/rand/v2"
	"time"
)

// phase keeps the processes of a fleet from waking at the same moments.
var phase = rand.N(time.Minute)

// UntilNext returns the time until the next multiple of the interval. Periodic work
// that waits for it shares the wake-ups of the process with work of other intervals.
func UntilNext(interval time.Duration) time.Duration {
	return interval - time.Duration((time.Now().UnixNano()+int64(phase))%int64(interval))
}
