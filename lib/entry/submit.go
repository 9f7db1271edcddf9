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
	"skylarklane.example/lib/wire"
)

const (
	maxKeyLength  = 128
	maxNameLength = 128
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
	Kind           document.Once[string]           `json:"kind"`
	DeadlineMillis document.Once[int64]            `json:"deadlineMillis"`
	Tasks          document.Once[[]submissionTask] `json:"tasks"`
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
	b, refused := parseBody(body)
	if refused != nil {
		return nil, refused
	}
	s.spec = &wire.JobSpec{Service: r.PathValue("service"), Kind: b.Kind.Value, Team: team, DeadlineMillis: b.DeadlineMillis.Value}
	for _, task := range b.Tasks.Value {
		s.spec.Payloads = append(s.spec.Payloads, task.Payload.Value)
	}
	digest := sha256.Sum256(append([]byte(s.spec.GetService()+"\n"+team+"\n"), body...))
	s.digest = digest[:]
	return s, nil
}

func parseBody(body []byte) (*submissionBody, *refusal) {
	var b submissionBody
	if err := document.DecodeOpen(body, &b); err != nil {
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
	if errors.As(err, &e) && e.Field != "" {
		return badField(e.Field, "badField", e.Error())
	}
	return badField("", "badBody", err.Error())
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
