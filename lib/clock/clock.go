// Package clock measures time that goes on while the machine is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since a fixed but unknown moment. It never steps, and
// counts time during which the machine was suspended.
type Clock interface {
	Now() time.Duration
}

// Func is a clock made of a function.
type Func func() time.Duration

// Now implements Clock.
func (f Func) Now() time.Duration { return f() }

// Boot returns the clock of this machine.
func Boot() Clock { return Func(sinceBoot) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
