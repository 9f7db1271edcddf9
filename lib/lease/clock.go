package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock counts time from an arbitrary start. It never goes back, and counts
// the time during which the machine was suspended.
type Clock interface {
	Now() time.Duration
}

// Boottime returns the clock of the machine since its boot.
func Boottime() Clock { return boottime{} }

// Runtime returns a clock that counts the time of the runtime from now on.
// It leaves out suspended time.
func Runtime() Clock { return runtime{began: time.Now()} }

type boottime struct{}

func (boottime) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("no boot time clock: " + err.Error())
	}
	return time.Duration(t.Nano())
}

type runtime struct{ began time.Time }

func (c runtime) Now() time.Duration { return time.Since(c.began) }
