package lease

import (
	"testing"
	"time"
)

// TestTimingChanges guards against sessions that last as long as when the agent
// started, though its settings have changed.
func TestTimingChanges(t *testing.T) {
	const millisecond = time.Millisecond
	tests := []struct {
		name   string
		timing []Timing // one after the other
		millis int      // until the session is opened
		want   time.Duration
	}{
		{"unchanged", []Timing{{}}, 0, DefaultSession},
		{"shorter", []Timing{{Session: 400 * millisecond}}, 0, 400 * millisecond},
		{"shorter and back, before the delay", []Timing{{Session: 400 * millisecond}, {}}, 2900, 400 * millisecond},
		{"shorter and back", []Timing{{Session: 400 * millisecond}, {}}, 3100, DefaultSession},
		{"longer and shorter", []Timing{{Session: 400 * millisecond}, {}, {Session: 500 * millisecond}}, 3100, 500 * millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				for _, timing := range test.timing {
					d.manager.SetTiming(timing)
				}
				d.sleep(test.millis)
				reply := d.watch(entryOne, 0)
				d.Equal(time.Duration(reply.GetSessionUntilMillis()-reply.GetClockMillis())*millisecond, test.want)
				q := d.launchRequest(entryOne, 1, "a")
				q.NotAfterMillis = (d.clock.Now() + 100*millisecond).Milliseconds()
				_, err := d.manager.Launch(t.Context(), q)
				d.NoErr(err)
				d.sleep(int(test.want.Milliseconds()) - 10)
				d.Equal(d.w.runningTasks(), []string{"a"})
				d.sleep(110)
				d.Equal(len(d.w.runningTasks()), 0) // stopped at the end of the session
			})
		})
	}
}
