package lease

import (
	"context"
	"testing"
	"time"
)

func TestSpeedIsReported(t *testing.T) {
	for _, c := range []struct {
		name     string
		expected int64
		how      How
		speed    int32
		runs     uint32
	}{
		{"twice as long", 50, Done, 693, 1},
		{"as expected", 100, Done, 0, 1},
		{"nothing expected", 0, Done, 0, 0},
		{"failed", 50, Failed, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withDriver(t, func(d *driver) {
				d.watch(entryOne, 0)
				q := d.launchRequest(entryOne, 1, "a")
				q.Tasks[0].ExpectedMillis = c.expected
				_, err := d.manager.Launch(context.Background(), q)
				d.NoErr(err)
				time.Sleep(100 * time.Millisecond)
				d.w.finish("a", 1, c.how)
				d.sleep(20)
				state := d.watch(entryTwo, 0).GetWorker()
				d.Equal(state.GetSpeed(), c.speed)
				d.Equal(state.GetTimedRuns(), c.runs)
			})
		})
	}
}
