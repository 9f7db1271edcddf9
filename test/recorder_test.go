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

// nonIdempotentKind is the kind of serviceFile that is not idempotent.
const nonIdempotentKind = "labelRelease"

// reasonUnknownOutcome is the reason of a failed answer when the system cannot
// tell what became of the job.
const reasonUnknownOutcome = "unknownOutcome"

// plainTransport sends each request on a new connection, so that net/http never
// repeats a request whose reused connection has broken.
var plainTransport = &http.Transport{DisableKeepAlives: true}

// job is a job that a caller submits.
type job struct {
	key  string
	kind string
	// values holds the expected result of each task.
	values    []string
	runMillis int
	deadline  time.Duration
	// submittedAt is sent as the Submitted-At header, unless zero.
	submittedAt time.Time
}

// newJob returns a job of n tasks with distinct values.
func newJob(key, kind string, n, runMillis int) job {
	j := job{key: key, kind: kind, runMillis: runMillis}
	for i := range n {
		j.values = append(j.values, fmt.Sprintf("%s/%d", key, i))
	}
	return j
}

// withSubmissionTime returns the job with the current time as its submission
// time. If the system lost records before that time, it can tell that none of
// them belonged to this key.
func (j job) withSubmissionTime() job {
	j.submittedAt = time.Now()
	return j
}

// withOtherContent returns a job with the same key and different content.
func (j job) withOtherContent() job {
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

// answer is the answer to one request of a caller; its status is 0 if none came.
type answer struct {
	job job
	// polled is set for polls and cancellations.
	polled     bool
	status     int
	outcome    string
	reason     string
	values     []string
	indexes    []int
	sentAt     time.Time
	receivedAt time.Time
	text       string
}

// hasOutcome reports whether the answer gives the outcome of the job.
func (a answer) hasOutcome() bool { return a.outcome != "" }

// recorder sends the requests of all callers and records the answers.
type recorder struct {
	mu      sync.Mutex
	answers []answer
}

func newRecorder() *recorder { return &recorder{} }

// submit posts a job and records the answer.
func (r *recorder) submit(ctx context.Context, entry string, j job) answer {
	a := answer{job: j, sentAt: time.Now()}
	a.call(ctx, http.MethodPost, "http://"+entry+"/v1/services/sizing/jobs", j.body())
	r.record(a)
	return a
}

// poll asks for the outcome of a key and records the answer.
func (r *recorder) poll(ctx context.Context, entry, key string) answer {
	a := answer{job: job{key: key}, polled: true, sentAt: time.Now()}
	a.call(ctx, http.MethodGet, "http://"+entry+"/v1/jobs/"+key+"?waitMillis=500", nil)
	r.record(a)
	return a
}

// cancel cancels the job of a key and records the answer.
func (r *recorder) cancel(ctx context.Context, entry, key string) answer {
	a := answer{job: job{key: key}, polled: true, sentAt: time.Now()}
	a.call(ctx, http.MethodDelete, "http://"+entry+"/v1/jobs/"+key, nil)
	r.record(a)
	return a
}

// record adds an answer to the record.
func (r *recorder) record(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// all returns the answers recorded so far.
func (r *recorder) all() []answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.answers)
}

// call sends a request and fills in the answer.
func (a *answer) call(ctx context.Context, method, url string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	defer func() { a.receivedAt = time.Now() }()
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
	a.parse(text)
}

// parse reads the outcome, reason and results from a JSON body.
func (a *answer) parse(text []byte) {
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

// summary counts the answers to submissions by status, outcome and reason.
func (r *recorder) summary() string {
	counts := map[string]int{}
	for _, a := range r.all() {
		if !a.polled {
			counts[fmt.Sprintf("%d %s %s", a.status, a.outcome, a.reason)]++
		}
	}
	return fmt.Sprint(counts)
}

// keyHistory holds the answers for one key and the recorded starts of its tasks,
// by task.
type keyHistory struct {
	key     string
	answers []answer
	starts  map[string][]standin.Start
}

// violations checks the recorded answers against the task starts of the
// stand-ins and describes each violation of an invariant.
func (r *recorder) violations(starts []standin.Start) []string {
	histories := map[string]*keyHistory{}
	of := func(key string) *keyHistory {
		if histories[key] == nil {
			histories[key] = &keyHistory{key: key, starts: map[string][]standin.Start{}}
		}
		return histories[key]
	}
	for _, a := range r.all() {
		h := of(a.job.key)
		h.answers = append(h.answers, a)
	}
	for _, s := range starts {
		h := of(s.Job)
		h.starts[s.Task] = append(h.starts[s.Task], s)
	}
	var found []string
	for _, h := range histories {
		found = append(found, h.violations()...)
	}
	slices.Sort(found)
	return found
}

// violations checks the invariants of one key: no task starts twice, complete
// answers are whole and agree, failed answers have no results, refused jobs have
// not run, and a key is not both complete and failed.
func (h *keyHistory) violations() []string {
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
			if a.reason != reasonUnknownOutcome {
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

// checkComplete checks that a complete answer has all results in order, that
// they are those that its caller expects, and that each task started once.
func (h *keyHistory) checkComplete(a *answer, report func(string, ...any)) {
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

// checkNotRun checks that no task of a refused submission has run. The refusal of
// a non-idempotent kind is permanent: no task of the key may start at any time.
// The refusal of an idempotent kind holds for the time between request and
// answer: no task had started before the request, and a task that starts later
// belongs to another submission of the key.
func (h *keyHistory) checkNotRun(refusal *answer, report func(string, ...any)) {
	permanent := h.kind() == nonIdempotentKind
	otherOpen := h.otherSubmissionOpenSince(refusal)
	for task, starts := range h.starts {
		for _, start := range starts {
			switch {
			case permanent:
				report("refused for good (%s), but task %s started", refusal.reason, task)
			case start.At.Before(refusal.sentAt):
				report("refused as not run (%s), but task %s had started", refusal.reason, task)
			case !otherOpen:
				report("refused as not run (%s), but task %s started later", refusal.reason, task)
			}
		}
	}
}

// otherSubmissionOpenSince reports whether another submission of the key was
// unanswered when the refused one was sent, or was sent later.
func (h *keyHistory) otherSubmissionOpenSince(refusal *answer) bool {
	for n := range h.answers {
		a := &h.answers[n]
		if a == refusal || a.polled || a.outcome == outcomeNotRun || a.status == http.StatusConflict {
			continue
		}
		if !a.receivedAt.Before(refusal.sentAt) {
			return true
		}
	}
	return false
}

// kind returns the kind of the key's submissions.
func (h *keyHistory) kind() string {
	for n := range h.answers {
		if h.answers[n].job.kind != "" {
			return h.answers[n].job.kind
		}
	}
	return ""
}
