package clock

import (
	"sync"
	"time"
)

// Awake is a monotonic clock that leaves out the time during which the process
// was stopped. Each time between two readings that is longer than maxGap counts
// as a stop, so it has to be read more often than that.
type Awake struct {
	maxGap time.Duration

	mu      sync.Mutex
	began   time.Time
	readAt  time.Time
	stopped time.Duration
}

// NewAwake returns a clock that begins at 0.
func NewAwake(maxGap time.Duration) *Awake {
	now := time.Now()
	return &Awake{maxGap: maxGap, began: now, readAt: now}
}

// Now implements Clock.
func (a *Awake) Now() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(a.readAt); gap > a.maxGap {
		a.stopped += gap
	}
	a.readAt = now
	return now.Sub(a.began) - a.stopped
}
