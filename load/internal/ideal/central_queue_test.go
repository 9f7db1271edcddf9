package ideal

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
	"skylarklane.example/load/internal/trace"
)

func seconds(n ...float64) []time.Duration {
	var all []time.Duration
	for _, s := range n {
		all = append(all, time.Duration(s*float64(time.Second)))
	}
	return all
}

func TestCentral(t *testing.T) {
	oneWorker := []*wire.Worker{{Speed: 1, Slots: 1}}
	fastAndSlow := []*wire.Worker{{Speed: 1, Slots: 1}, {Speed: 0.1, Slots: 1}}
	urgent, batch := wire.Urgency_URGENCY_URGENT, wire.Urgency_URGENCY_BATCH
	tests := []struct {
		name    string
		workers []*wire.Worker
		jobs    []trace.Job
		want    []time.Duration
	}{
		{"one after the other", oneWorker,
			[]trace.Job{{Runs: seconds(2)}, {At: time.Second, Runs: seconds(1)}}, seconds(2, 2)},
		{"urgent first", oneWorker, []trace.Job{
			{Runs: seconds(2)}, {At: time.Second, Runs: seconds(3), Urgency: batch}, {At: time.Second, Runs: seconds(1), Urgency: urgent},
		}, seconds(2, 5, 2)},
		{"waits for the fast worker", fastAndSlow, []trace.Job{{Runs: seconds(1, 1)}}, seconds(2)},
		{"uses the slow worker if the task ends first there", fastAndSlow, []trace.Job{{Runs: seconds(9, 0.5)}}, seconds(9)},
		{"idle in between", oneWorker, []trace.Job{{Runs: seconds(1)}, {At: 5 * time.Second, Runs: seconds(1)}}, seconds(1, 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(Central(test.jobs, test.workers), test.want)
		})
	}
}
