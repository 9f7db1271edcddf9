// Package clock provides monotonic clocks that differ in what they count of the
// time during which the machine is suspended or the process is stopped.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed but unspecified moment. It is monotonic.
type Clock interface {
	Now() time.Duration
}

// Func adapts a function to a Clock.
type Func func() time.Duration

// Now implements Clock.
func (f Func) Now() time.Duration { return f() }

// Boot returns the clock that counts from the boot of this machine, and also
// while the machine is suspended.
func Boot() Clock { return Func(sinceBoot) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
