package control

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the machine started, as a point in time. It
// counts the time during which the machine was suspended, and never jumps.
func bootClock() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
