package control

import (
	"time"

	"skylarklane.example/lib/clock"
)

// bootClock returns the time since the host booted, as a time.Time. It includes
// time spent suspended and is unaffected by changes of the system clock.
func bootClock() time.Time { return time.Unix(0, int64(clock.Boot().Now())) }
