package judge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/standin"
	"skylarklane.example/load/internal/caller"
	"skylarklane.example/load/internal/trace"
)

func TestNew(t *testing.T) {
	job := trace.Job{Key: "a", Idempotent: true, Runs: make([]time.Duration, 2)}
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	bothStarts := []standin.Start{{Job: "a", Task: "0", At: noon}, {Job: "a", Task: "1", At: noon}}
	tests := []struct {
		name   string
		answer caller.Answer
		starts []standin.Start
		want   Verdict
	}{
		{"complete", caller.Answer{Outcome: caller.Complete}, bothStarts, Verdict{Starts: 2}},
		{"doubled", caller.Answer{Outcome: caller.Failed}, append(bothStarts, bothStarts...), Verdict{Starts: 4, Doubled: 2}},
		{"false refusal", caller.Answer{Outcome: caller.NotRun, At: noon.Add(time.Second)}, bothStarts[:1], Verdict{Starts: 1, FalseRefusals: 1}},
		{"true refusal", caller.Answer{Outcome: caller.NotRun}, nil, Verdict{}},
		{"another job's start", caller.Answer{Outcome: caller.NotRun}, []standin.Start{{Job: "b", Task: "0", At: noon}}, Verdict{}},
		{"lost", caller.Answer{Outcome: caller.Lost}, nil, Verdict{Lost: 1}},
		{"unstarted", caller.Answer{Outcome: caller.Complete}, bothStarts[:1], Verdict{Starts: 1, Unstarted: 1}},
		{"differs", caller.Answer{Outcome: caller.Complete, Again: &caller.Answer{Outcome: caller.Failed}}, bothStarts, Verdict{Starts: 2, Differing: 1}},
		{"refused before it ran", caller.Answer{Outcome: caller.NotRun, At: noon.Add(-time.Second)}, bothStarts[:1], Verdict{Starts: 1}},
		{"refused while it ran", caller.Answer{Outcome: caller.NotRun, At: noon.Add(time.Second)}, bothStarts[:1], Verdict{Starts: 1, FalseRefusals: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.answer.Job = job
			if test.answer.Again != nil {
				test.answer.Again.Job = job
			}
			is.New(t).Equal(New([]caller.Answer{test.answer}, test.starts), test.want)
		})
	}
}
