package process

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// suspendedLeast is the least time that counts as suspended; the two clocks are
// not read at one instant.
const suspendedLeast = 20 * time.Millisecond

// upClock tells how long the process has run, with the time during which the
// machine was suspended. Asking for that takes a system call, so it is asked for
// only when lines are written.
type upClock struct {
	start     time.Time
	bootStart time.Duration
	suspended atomic.Int64
}

func newUpClock() *upClock {
	return &upClock{start: time.Now(), bootStart: sinceBoot()}
}

// millis returns the milliseconds since the start. It never goes back.
func (c *upClock) millis() int64 {
	return (time.Since(c.start) + time.Duration(c.suspended.Load())).Milliseconds()
}

// refresh reads how long the machine was suspended.
func (c *upClock) refresh() {
	steady := time.Since(c.start)
	suspended := sinceBoot() - c.bootStart - steady
	if suspended > time.Duration(c.suspended.Load())+suspendedLeast {
		c.suspended.Store(int64(suspended))
	}
}

// sinceBoot returns the time since the machine's start, or 0 where the system
// doesn't tell.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
