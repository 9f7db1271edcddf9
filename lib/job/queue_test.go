package job

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

// TestHopeless uses jobs of one task of 400 ms whose objective is 1.6 times
// its run time at the best worker, plus 60 ms.
func TestHopeless(t *testing.T) {
	const ms = time.Millisecond
	idle := placement.Backlog{Capacity: 1000, Running: 1000}
	tests := []struct {
		name             string
		best             float64
		ahead            time.Duration
		delay            time.Duration
		waited           time.Duration
		backlog          placement.Backlog
		awaitsFastWorker bool
		want             bool
	}{
		{name: "new", best: 1, backlog: idle},
		{name: "new, fast workers", best: 0.5, backlog: idle},
		{name: "held, fast workers", best: 0.5, waited: 100 * ms, backlog: idle},
		{name: "held, likely late", best: 1, waited: 350 * ms, backlog: idle, want: true},
		{name: "held, much ahead", best: 1, waited: 100 * ms, ahead: 300 * ms, backlog: idle, want: true},
		{name: "new, much ahead", best: 1, ahead: 300 * ms, backlog: idle},
		{name: "new, far too much ahead", best: 1, ahead: 2 * time.Second, backlog: idle, want: true},
		{name: "held, others waited long", best: 1, waited: 100 * ms, delay: time.Second, backlog: idle, want: true},
		{name: "held, a slow worker has room", best: 1, waited: 350 * ms, backlog: idle, awaitsFastWorker: true},
		{name: "new, no worker", best: 1},
		{name: "held, no worker", best: 1, waited: 210 * ms, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Hour
			k := &wire.Kind{Name: "thermal", Stretch: 1.6, SlackMillis: 60}
			j := Job{ID: "j", Kind: k, Received: time.Now(), Steps: []Step{{Count: 1, Need: &wire.Resources{CpuMillis: 1000}, Estimate: 400 * ms}}}
			w := newWorkItem(j, &kindStats{}, now-test.waited, 0)
			w.receivedAt = now - test.waited
			w.best, w.awaitsFastWorker = test.best, test.awaitsFastWorker
			w.count(w.steps[0].need.Times(100))
			w.ideal = w.remaining()
			w.objective = placement.NewObjective(w.ideal, k.Stretch, 60*ms)
			b := test.backlog
			b.QueuedWork = float64(b.Running) * float64(test.ahead)
			is.Equal(w.isHopeless(b, test.delay, now), test.want)
		})
	}
}
