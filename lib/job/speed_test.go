package job

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

func TestSpeed(t *testing.T) {
	slow := &wire.WorkerState{Speed: 700, TimedRuns: 17}
	own := placement.Average{Log: 0.1, N: 17}
	for _, c := range []struct {
		name  string
		speed speed
		state *wire.WorkerState
		now   time.Duration
		log   float64
	}{
		{"nothing known", speed{}, &wire.WorkerState{}, time.Second, 0},
		{"reported by the agent", speed{}, slow, 0, 0.7 * 17 / 20},
		{"learned average has as many samples", speed{factor: own}, slow, 0, 0.1 * 17 / 20},
		{"reported average has fewer samples", speed{factor: own}, &wire.WorkerState{Speed: 900, TimedRuns: 1}, 0, 0.1 * 17 / 20},
		{"reported average has decayed", speed{reported: placement.Average{Log: 0.7, N: 17}}, slow, factorDecayTime, 0.7 * 17 / 20 / math.E},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := math.Log(c.speed.withReport(c.state, c.now).value(c.now))
			is.New(t).True(math.Abs(got-c.log) < 1e-9) // the expected logarithm
		})
	}
}
