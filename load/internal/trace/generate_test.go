package trace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

func exampleExperiment() *wire.Experiment {
	return &wire.Experiment{
		TimeScale: 0.5,
		Workers:   []*wire.Worker{{Speed: 2, Slots: 8}, {Speed: 0.5, Slots: 8}},
		Services:  []*wire.Service{{Name: "sizing", Kinds: []*wire.Kind{{Name: "finCheck", Urgency: wire.Urgency_URGENCY_URGENT, Idempotent: true}}}},
		Requests:  []*wire.Request{{Service: "sizing", Kind: "finCheck", Weight: 1, MinTasks: 1, MaxTasks: 46, MinRunMillis: 50, MaxRunMillis: 1000, Tail: 0.01, TailRunMillis: 3000}},
	}
}

func TestGenerateMatchesCellLoad(t *testing.T) {
	tests := []struct {
		name string
		cell *wire.Cell
		want float64
	}{
		{"steady", &wire.Cell{Name: "steady", Load: 0.7, DurationMillis: 20_000}, 0.7},
		{"bursts", &wire.Cell{Name: "bursts", Load: 0.5, DurationMillis: 20_000, BurstLoad: 2, BurstMillis: 1000, BurstPeriodMillis: 5000}, 0.8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			experiment := exampleExperiment()
			load := Offered(Generate(experiment, test.cell, "run"), experiment, test.cell)
			is.True(math.Abs(load-test.want) < 0.02*test.want)
		})
	}
}

func TestGenerateIsDeterministic(t *testing.T) {
	is := is.New(t)
	cell := &wire.Cell{Name: "cell", Load: 0.7, DurationMillis: 20_000}
	jobs := Generate(exampleExperiment(), cell, "run")
	is.Equal(jobs, Generate(exampleExperiment(), cell, "run"))
	other := Generate(exampleExperiment(), cell, "other")
	is.Equal(len(jobs), len(other))
	for n, job := range jobs {
		is.Equal(job.Runs, other[n].Runs)
		is.True(job.Key != other[n].Key)
		is.True(len(job.Runs) >= 1 && len(job.Runs) <= 46)
		is.Equal(job.Urgency, wire.Urgency_URGENCY_URGENT)
		is.True(job.Idempotent)
		for _, run := range job.Runs {
			is.True(run >= 25*time.Millisecond && run <= 1500*time.Millisecond)
		}
	}
}
