package clock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestBootAdvances(t *testing.T) {
	is := is.New(t)
	c := Boot()
	before := c.Now()
	time.Sleep(5 * time.Millisecond)
	is.True(c.Now()-before >= 5*time.Millisecond)
}

// TestAwakeLeavesOutStops guards against a clock that counts the time during which
// the process was stopped, and one that loses time while it runs.
func TestAwakeLeavesOutStops(t *testing.T) {
	tests := []struct {
		name string
		// pauses are the times between readings.
		pauses []time.Duration
		want   time.Duration
	}{
		{"read often", []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond}, 370 * time.Millisecond},
		{"stopped once", []time.Duration{20 * time.Millisecond, 3 * time.Second, 20 * time.Millisecond}, 40 * time.Millisecond},
		{"stopped twice", []time.Duration{time.Second, 20 * time.Millisecond, time.Second, 20 * time.Millisecond}, 40 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := NewAwake(250 * time.Millisecond)
				var now time.Duration
				for _, pause := range test.pauses {
					time.Sleep(pause)
					now = c.Now()
				}
				is.Equal(now, test.want)
			})
		})
	}
}
