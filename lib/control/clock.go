package control

import (
	"time"

	"skylarklane.example/lib/clock"
)

// bootClock returns the time since the machine booted, as a time.Time. It
// includes the time during which the machine was suspended, and never jumps.
func bootClock() time.Time { return time.Unix(0, int64(clock.Boot().Now())) }
