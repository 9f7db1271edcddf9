// Package clock measures time that includes periods during which the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed but unspecified moment. It is
// monotonic, and counts time during which the machine was suspended.
type Clock interface {
	Now() time.Duration
}

// Func adapts a function to a Clock.
type Func func() time.Duration

// Now implements Clock.
func (f Func) Now() time.Duration { return f() }

// Boot returns the clock of this machine, which counts from its boot.
func Boot() Clock { return Func(sinceBoot) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: reading CLOCK_BOOTTIME failed: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
