package entry

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"skylarklane.example/lib/document"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/wire"
)

const (
	maxKeyLength  = 128
	maxNameLength = 128
	// taskBytes is the memory for a task of a submission besides its payload, and
	// bodyCopies how often the body is copied.
	taskBytes  = 512
	bodyCopies = 2
)

// submission is a caller's request to run a job.
type submission struct {
	key    string
	digest []byte
	spec   *wire.JobSpec
	// submittedAt is the caller's submission time in Unix milliseconds; 0 if
	// not given.
	submittedAt int64
	// async requests a response as soon as the key is held, before the job has
	// ended.
	async bool
}

// submissionBody is the request body of a submission.
type submissionBody struct {
	Kind           document.Once[string]                        `json:"kind"`
	DeadlineMillis document.Once[int64]                         `json:"deadlineMillis"`
	Tasks          document.Once[document.List[submissionTask]] `json:"tasks"`
}

// submissionTask is one task of a submission.
type submissionTask struct {
	Payload document.Once[document.Value] `json:"payload"`
}

func (e *Entry) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.limits.GetMaxBodyBytes()))
	if err != nil {
		e.writeUnreadBody(w, err)
		return
	}
	s, refused := parseSubmission(r, body)
	if refused != nil {
		e.countRefusal(refused)
		if refused.reason == process.ReasonOverload {
			// Without the submission it is not known whether another entry has run it.
			setRetryAfter(w, refused.retryAfter)
			writeProblem(w, refused.status, "", refused.reason, refused.detail)
			return
		}
		writeRefusal(w, refused)
		return
	}
	if !e.gate.Enter() {
		e.refuseUnlessHeld(r.Context(), w, s, leavingRefusal())
		return
	}
	defer e.gate.Leave()
	e.runSubmission(r.Context(), w, s)
}

// writeUnreadBody responds to a submission whose body could not be read. The
// response has no outcome: an entry with other limits may have run the same
// submission.
func (e *Entry) writeUnreadBody(w http.ResponseWriter, err error) {
	r := &refusal{status: http.StatusBadRequest, reason: "badBody", detail: "the request body could not be read to its end"}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		r = &refusal{
			status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge",
			detail: fmt.Sprintf("the request body may have at most %d bytes", tooLarge.Limit),
		}
	}
	e.countRefusal(r)
	writeProblem(w, r.status, "", r.reason, r.detail)
}

// parseSubmission parses and validates a submission. The rules must not depend
// on an entry's settings: a submission refused here cannot have run through any
// other entry.
func parseSubmission(r *http.Request, body []byte) (*submission, *refusal) {
	s := &submission{key: r.Header.Get("Idempotency-Key"), async: prefersAsync(r.Header)}
	if !printable(s.key, 1, maxKeyLength) {
		return nil, badField("Idempotency-Key", "badKey", "the header must have 1 to 128 printable characters")
	}
	team := r.Header.Get("Team")
	if !printable(team, 0, maxNameLength) {
		return nil, badField("Team", "badField", "the header must have at most 128 printable characters")
	}
	if at := r.Header.Get("Submitted-At"); at != "" {
		t, err := time.Parse(time.RFC3339, at)
		if err != nil {
			return nil, badField("Submitted-At", "badField", "the header must be an RFC 3339 time")
		}
		s.submittedAt = t.UnixMilli()
	}
	reserve := func(n int64) bool { return process.Reserve(r, n) }
	b, refused := parseBody(body, reserve)
	if refused != nil {
		return nil, refused
	}
	s.spec = &wire.JobSpec{Service: r.PathValue("service"), Kind: b.Kind.Value, Team: team, DeadlineMillis: b.DeadlineMillis.Value}
	if !reserve(int64(len(b.Tasks.Value))*taskBytes + int64(len(body))*bodyCopies) {
		return nil, overloadRefusal()
	}
	for _, task := range b.Tasks.Value {
		s.spec.Payloads = append(s.spec.Payloads, task.Payload.Value)
	}
	digest := sha256.Sum256(append([]byte(s.spec.GetService()+"\n"+team+"\n"), body...))
	s.digest = digest[:]
	return s, nil
}

func parseBody(body []byte, reserve func(bytes int64) bool) (*submissionBody, *refusal) {
	var b submissionBody
	if err := document.DecodeOpen(body, &b, reserve); err != nil {
		return nil, badBody(err)
	}
	switch {
	case b.Kind.Value == "" || len(b.Kind.Value) > maxNameLength:
		return nil, badField("kind", "badField", "the kind must have 1 to 128 characters")
	case b.DeadlineMillis.Value < 0 || b.DeadlineMillis.Value > maxDeadline.Milliseconds():
		return nil, badField("deadlineMillis", "badField", fmt.Sprintf("the deadline must be 0 to %d ms", maxDeadline.Milliseconds()))
	case len(b.Tasks.Value) == 0:
		return nil, badField("tasks", "badField", "a job must have at least one task")
	}
	for n, task := range b.Tasks.Value {
		if len(task.Payload.Value) == 0 {
			return nil, badField(fmt.Sprintf("tasks[%d].payload", n), "badField", "a task must have a payload")
		}
	}
	return &b, nil
}

// badBody returns the refusal for a decoding error. It names the invalid field if
// the decoder reports one.
func badBody(err error) *refusal {
	var e *document.Error
	switch {
	case !errors.As(err, &e):
	case e.Kind == document.KindMemory:
		return overloadRefusal()
	case e.Field != "":
		return badField(e.Field, "badField", e.Error())
	}
	return badField("", "badBody", err.Error())
}

// overloadRefusal returns the refusal of a submission for which there is no memory.
func overloadRefusal() *refusal {
	return &refusal{
		status: http.StatusServiceUnavailable, reason: process.ReasonOverload, retryAfter: briefRetryAfter(),
		detail: "this entry has no memory left for the submission",
	}
}

// printable reports whether s consists of minLength to maxLength printable ASCII
// characters.
func printable(s string, minLength, maxLength int) bool {
	if len(s) < minLength || len(s) > maxLength {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
}

func prefersAsync(h http.Header) bool {
	for _, preference := range h.Values("Prefer") {
		if strings.Contains(preference, "respond-async") {
			return true
		}
	}
	return false
}
