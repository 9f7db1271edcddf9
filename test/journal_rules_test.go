package test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/standin"
)

// TestJudge checks that recorder.violations finds each kind of violation and
// accepts valid histories.
func TestJudge(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(int64(n), 0) }
	j := newJob("k", "finCheck", 2, 1)
	complete := answer{job: j, status: 200, outcome: outcomeComplete, values: j.values, indexes: []int{0, 1}, sentAt: at(1), receivedAt: at(9)}
	refused := answer{job: j, status: 503, outcome: outcomeNotRun, reason: "queueFull", sentAt: at(1), receivedAt: at(5)}
	failed := answer{job: j, status: 502, outcome: outcomeFailed, reason: "taskFailed", sentAt: at(1), receivedAt: at(9)}
	label := newJob("k", nonIdempotentKind, 2, 1)
	refusedLabel := answer{job: label, status: 503, outcome: outcomeNotRun, reason: "queueFull", sentAt: at(1), receivedAt: at(5)}
	both := []standin.Start{{Job: "k", Task: "0", At: at(2)}, {Job: "k", Task: "1", At: at(2)}}
	early := []standin.Start{{Job: "k", Task: "0", At: at(0)}, {Job: "k", Task: "1", At: at(0)}}
	with := func(a answer, change func(*answer)) answer {
		change(&a)
		return a
	}
	tests := []struct {
		name    string
		answers []answer
		starts  []standin.Start
		want    string
	}{
		{"whole", []answer{complete}, both, ""},
		{"same answer twice", []answer{complete, complete}, both, ""},
		{"refused", []answer{refused}, nil, ""},
		{"refused, then tried again", []answer{refused, complete}, []standin.Start{{Job: "k", Task: "0", At: at(6)}, {Job: "k", Task: "1", At: at(6)}}, ""},
		{"failed", []answer{failed}, both, ""},
		{"second start", []answer{complete}, append(both, both[0]), "started 2 times"},
		{"partial", []answer{with(complete, func(a *answer) { a.values, a.indexes = a.values[:1], a.indexes[:1] })}, both, "is not that to"},
		{"wrong order", []answer{with(complete, func(a *answer) { a.indexes = []int{1, 0} })}, both, "has index"},
		{"another's answer", []answer{with(complete, func(a *answer) { a.values = []string{"x", "y"} })}, both, "is not that to"},
		{"invented result", []answer{complete}, both[:1], "started 0 times"},
		{"refused beside a copy that ran", []answer{refused, complete}, both, ""},
		{"false refusal", []answer{refused, complete}, early, "had started"},
		{"refused for good", []answer{refusedLabel}, nil, ""},
		{"refused for good, then run", []answer{refusedLabel, with(complete, func(a *answer) { a.job = label })}, both, "for good"},
		{"refused and run later", []answer{refused}, []standin.Start{{Job: "k", Task: "0", At: at(6)}}, "started later"},
		{"results of a failed job", []answer{with(failed, func(a *answer) { a.values = j.values })}, both, "has results"},
		{"complete and failed", []answer{complete, failed}, both, "as complete and as failed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newRecorder()
			for _, a := range test.answers {
				r.record(a)
			}
			found := strings.Join(r.violations(test.starts), "\n")
			if test.want == "" {
				is.Equal(found, "")
				return
			}
			is.True(strings.Contains(found, test.want))
		})
	}
}
