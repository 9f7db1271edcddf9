package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"skylarklane.example/lib/standin"
)

// callerTimeout bounds how long a caller waits for one answer.
const callerTimeout = 40 * time.Second

// The outcomes of an answer.
const (
	outcomeComplete = "complete"
	outcomeFailed   = "failed"
	outcomeNotRun   = "notRun"
)

// unrepeatableKind is the kind that is not idempotent.
const unrepeatableKind = "labelRelease"

// reasonUnknown is the reason of a failure of which nothing is known.
const reasonUnknown = "unknownOutcome"

// plainTransport sends each request on its own connection, so that nothing is
// replayed.
var plainTransport = &http.Transport{DisableKeepAlives: true}

// job is a submission of the callers.
type job struct {
	key  string
	kind string
	// values are what each task must bring back.
	values    []string
	runMillis int
	deadline  time.Duration
	// submittedAt is told to the system where it is set.
	submittedAt time.Time
}

// newJob returns a job of n tasks, each with a value of its own.
func newJob(key, kind string, n, runMillis int) job {
	j := job{key: key, kind: kind, runMillis: runMillis}
	for i := range n {
		j.values = append(j.values, fmt.Sprintf("%s/%d", key, i))
	}
	return j
}

// stamped returns the job with the time of its submission. Its key is then
// known to be younger than a loss of records before.
func (j job) stamped() job {
	j.submittedAt = time.Now()
	return j
}

// altered returns the job with other content under the same key.
func (j job) altered() job {
	j.values = slices.Clone(j.values)
	j.values[0] += "/altered"
	return j
}

func (j job) body() []byte {
	type task struct {
		Payload standin.Payload `json:"payload"`
	}
	body := struct {
		Kind           string `json:"kind"`
		DeadlineMillis int64  `json:"deadlineMillis,omitempty"`
		Tasks          []task `json:"tasks"`
	}{Kind: j.kind, DeadlineMillis: j.deadline.Milliseconds()}
	for _, v := range j.values {
		body.Tasks = append(body.Tasks, task{standin.Payload{RunMillis: float64(j.runMillis), Value: v}})
	}
	b, _ := json.Marshal(body)
	return b
}

// answer is what a caller got; status 0 where it got none.
type answer struct {
	job     job
	polled  bool
	status  int
	outcome string
	reason  string
	values  []string
	indexes []int
	sentAt  time.Time
	gotAt   time.Time
	text    string
}

// final tells whether the answer tells an outcome.
func (a answer) final() bool { return a.outcome != "" }

// journal holds the answers of all callers.
type journal struct {
	mu      sync.Mutex
	answers []answer
}

func newJournal() *journal { return &journal{} }

// submit posts a job and records the answer.
func (g *journal) submit(ctx context.Context, entry string, j job) answer {
	a := answer{job: j, sentAt: time.Now()}
	a.call(ctx, http.MethodPost, "http://"+entry+"/v1/services/sizing/jobs", j.body())
	g.add(a)
	return a
}

// poll asks for the outcome of a key and records the answer.
func (g *journal) poll(ctx context.Context, entry, key string) answer {
	a := answer{job: job{key: key}, polled: true, sentAt: time.Now()}
	a.call(ctx, http.MethodGet, "http://"+entry+"/v1/jobs/"+key+"?waitMillis=500", nil)
	g.add(a)
	return a
}

// cancel asks for the end of a key.
func (g *journal) cancel(ctx context.Context, entry, key string) answer {
	a := answer{job: job{key: key}, polled: true, sentAt: time.Now()}
	a.call(ctx, http.MethodDelete, "http://"+entry+"/v1/jobs/"+key, nil)
	g.add(a)
	return a
}

func (g *journal) add(a answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers = append(g.answers, a)
}

// all returns the answers so far.
func (g *journal) all() []answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.answers)
}

func (a *answer) call(ctx context.Context, method, url string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	defer func() { a.gotAt = time.Now() }()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		a.text = err.Error()
		return
	}
	if method == http.MethodPost {
		r.Header.Set("Idempotency-Key", a.job.key)
	}
	if !a.job.submittedAt.IsZero() {
		r.Header.Set("Submitted-At", a.job.submittedAt.Format(time.RFC3339Nano))
	}
	response, err := plainTransport.RoundTrip(r)
	if err != nil {
		a.text = err.Error()
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		a.text = err.Error()
		return
	}
	a.status, a.text = response.StatusCode, string(text)
	a.read(text)
}

func (a *answer) read(text []byte) {
	var body struct {
		Key, Outcome, Reason string
		Results              []struct {
			Index  int
			Result standin.Result
		}
	}
	if json.Unmarshal(text, &body) != nil {
		return
	}
	a.outcome, a.reason = body.Outcome, body.Reason
	for _, r := range body.Results {
		a.indexes = append(a.indexes, r.Index)
		a.values = append(a.values, fmt.Sprint(r.Result.Value))
	}
}

func (a answer) String() string {
	return fmt.Sprintf("%s status %d outcome %q reason %q: %s", a.job.key, a.status, a.outcome, a.reason, a.text)
}

// summary counts the answers by their outcome and reason.
func (g *journal) summary() string {
	counts := map[string]int{}
	for _, a := range g.all() {
		if !a.polled {
			counts[fmt.Sprintf("%d %s %s", a.status, a.outcome, a.reason)]++
		}
	}
	return fmt.Sprint(counts)
}

// history is all that is known of one key.
type history struct {
	key     string
	answers []answer
	starts  map[string][]standin.Start
}

// faults returns each break of what must always hold.
func (g *journal) faults(starts []standin.Start) []string {
	histories := map[string]*history{}
	of := func(key string) *history {
		if histories[key] == nil {
			histories[key] = &history{key: key, starts: map[string][]standin.Start{}}
		}
		return histories[key]
	}
	for _, a := range g.all() {
		h := of(a.job.key)
		h.answers = append(h.answers, a)
	}
	for _, s := range starts {
		h := of(s.Job)
		h.starts[s.Task] = append(h.starts[s.Task], s)
	}
	var found []string
	for _, h := range histories {
		found = append(found, h.faults()...)
	}
	slices.Sort(found)
	return found
}

func (h *history) faults() []string {
	var found []string
	report := func(format string, args ...any) {
		found = append(found, "key "+h.key+": "+fmt.Sprintf(format, args...))
	}
	for task, starts := range h.starts {
		if len(starts) > 1 {
			report("task %s started %d times", task, len(starts))
		}
	}
	var complete, failed *answer
	for n := range h.answers {
		a := &h.answers[n]
		switch a.outcome {
		case outcomeComplete:
			h.checkComplete(a, report)
			if complete != nil && !slices.Equal(complete.values, a.values) {
				report("two complete answers differ: %v and %v", complete.values, a.values)
			}
			complete = a
		case outcomeFailed:
			if len(a.values) > 0 {
				report("a failed answer has results: %v", a)
			}
			if a.reason != reasonUnknown {
				failed = a
			}
		case outcomeNotRun:
			h.checkNotRun(a, report)
		}
	}
	if complete != nil && failed != nil {
		report("answered as complete and as failed (%s)", failed.reason)
	}
	return found
}

// checkComplete checks that a complete answer is the whole answer to the
// request of its caller.
func (h *history) checkComplete(a *answer, report func(string, ...any)) {
	for n, index := range a.indexes {
		if index != n {
			report("result %d has index %d", n, index)
		}
	}
	if !a.polled && !slices.Equal(a.values, a.job.values) {
		report("the answer %v is not that to %v", a.values, a.job.values)
	}
	for n := range a.values {
		if len(h.starts[strconv.Itoa(n)]) != 1 {
			report("complete, but task %d started %d times", n, len(h.starts[strconv.Itoa(n)]))
		}
	}
}

// checkNotRun checks that nothing of a refused submission has run. The refusal
// of an unrepeatable kind lasts: no copy of it may start at any time. One of an
// idempotent kind is true for the time between question and answer: nothing had
// started before, and what starts later belongs to another submission.
func (h *history) checkNotRun(refusal *answer, report func(string, ...any)) {
	lasting := h.kind() == unrepeatableKind
	others := h.othersAfter(refusal)
	for task, starts := range h.starts {
		for _, start := range starts {
			switch {
			case lasting:
				report("refused for good (%s), but task %s started", refusal.reason, task)
			case start.At.Before(refusal.sentAt):
				report("refused as not run (%s), but task %s had started", refusal.reason, task)
			case !others:
				report("refused as not run (%s), but task %s started later", refusal.reason, task)
			}
		}
	}
}

// othersAfter tells whether another submission of the key was open at the time
// of a refusal or later.
func (h *history) othersAfter(refusal *answer) bool {
	for n := range h.answers {
		a := &h.answers[n]
		if a == refusal || a.polled || a.outcome == outcomeNotRun || a.status == http.StatusConflict {
			continue
		}
		if !a.gotAt.Before(refusal.sentAt) {
			return true
		}
	}
	return false
}

// kind returns the kind of the key's submissions.
func (h *history) kind() string {
	for n := range h.answers {
		if h.answers[n].job.kind != "" {
			return h.answers[n].job.kind
		}
	}
	return ""
}
