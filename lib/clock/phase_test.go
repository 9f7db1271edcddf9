package clock

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestUntilNext guards against processes that wake for each of their periodic works at
// a time of its own.
func TestUntilNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var mu sync.Mutex
		wakeUps := map[time.Time]bool{}
		for _, interval := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, time.Second} {
			time.Sleep(7 * time.Millisecond) // the loops begin at different times
			go func() {
				for range time.Second / interval {
					time.Sleep(UntilNext(interval))
					mu.Lock()
					wakeUps[time.Now().Round(0)] = true
					mu.Unlock()
				}
			}()
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.True(len(wakeUps) <= 52) // those of the shortest interval
	})
}
