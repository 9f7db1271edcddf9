package process

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// minSuspended is the minimum difference between the clocks that counts as a
// suspension; they are not read at the same instant.
const minSuspended = 20 * time.Millisecond

// upClock measures the time since the process started, including time during
// which the machine was suspended. Reading the boot-time clock takes a system
// call, so refresh is called only when lines are written.
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

// refresh updates the time during which the machine was suspended.
func (c *upClock) refresh() {
	awake := time.Since(c.start)
	suspended := sinceBoot() - c.bootStart - awake
	if suspended > time.Duration(c.suspended.Load())+minSuspended {
		c.suspended.Store(int64(suspended))
	}
}

// sinceBoot returns the time since the machine booted, including suspensions, or
// 0 if the clock can't be read.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
