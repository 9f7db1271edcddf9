package test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/standin"
)

// TestJudge checks that recorder.violations finds each kind of violation and
// accepts valid answers. All requests are sent at second 1.
func TestJudge(t *testing.T) {
	at := func(n int) time.Time { return time.Unix(int64(n), 0) }
	j := newJob("k", "finCheck", 2, 1)
	complete := answer{job: j, status: 200, outcome: outcomeComplete, values: j.values, indexes: []int{0, 1}, sentAt: at(1), receivedAt: at(9)}
	refused := answer{job: j, status: 503, outcome: outcomeNotRun, reason: "queueFull", sentAt: at(1), receivedAt: at(5)}
	failed := answer{job: j, status: 502, outcome: outcomeFailed, reason: "taskFailed", sentAt: at(1), receivedAt: at(9)}
	nonIdempotent := newJob("k", nonIdempotentKind, 2, 1)
	refusedNonIdempotent := answer{job: nonIdempotent, status: 503, outcome: outcomeNotRun, reason: "queueFull", sentAt: at(1), receivedAt: at(5)}
	startsAfterRequest := []standin.Start{{Job: "k", Task: "0", At: at(2)}, {Job: "k", Task: "1", At: at(2)}}
	startsBeforeRequest := []standin.Start{{Job: "k", Task: "0", At: at(0)}, {Job: "k", Task: "1", At: at(0)}}
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
		{"complete", []answer{complete}, startsAfterRequest, ""},
		{"same answer twice", []answer{complete, complete}, startsAfterRequest, ""},
		{"refused", []answer{refused}, nil, ""},
		{"refused, then tried again", []answer{refused, complete}, []standin.Start{{Job: "k", Task: "0", At: at(6)}, {Job: "k", Task: "1", At: at(6)}}, ""},
		{"failed", []answer{failed}, startsAfterRequest, ""},
		{"second start", []answer{complete}, append(startsAfterRequest, startsAfterRequest[0]), "started 2 times"},
		{"partial", []answer{with(complete, func(a *answer) { a.values, a.indexes = a.values[:1], a.indexes[:1] })}, startsAfterRequest, "is not that to"},
		{"wrong order", []answer{with(complete, func(a *answer) { a.indexes = []int{1, 0} })}, startsAfterRequest, "has index"},
		{"answer of another job", []answer{with(complete, func(a *answer) { a.values = []string{"x", "y"} })}, startsAfterRequest, "is not that to"},
		{"result of a task that did not start", []answer{complete}, startsAfterRequest[:1], "started 0 times"},
		{"refused while another submission ran", []answer{refused, complete}, startsAfterRequest, ""},
		{"refused after a start", []answer{refused, complete}, startsBeforeRequest, "had started"},
		{"permanently refused", []answer{refusedNonIdempotent}, nil, ""},
		{"permanently refused, then run", []answer{refusedNonIdempotent, with(complete, func(a *answer) { a.job = nonIdempotent })}, startsAfterRequest, "for good"},
		{"refused and run later", []answer{refused}, []standin.Start{{Job: "k", Task: "0", At: at(6)}}, "started later"},
		{"results of a failed job", []answer{with(failed, func(a *answer) { a.values = j.values })}, startsAfterRequest, "has results"},
		{"complete and failed", []answer{complete, failed}, startsAfterRequest, "as complete and as failed"},
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
