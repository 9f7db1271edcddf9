package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	maxKeyLength  = 128
	maxNameLength = 128
)

// submission is a request to run a job, as a caller sent it.
type submission struct {
	key    string
	digest []byte
	spec   *wire.JobSpec
	// submittedAt is when the caller made it, in Unix milliseconds; 0 where it
	// did not say.
	submittedAt int64
	// async asks for an answer before the job is done.
	async bool
}

// submissionBody is the body of a submission.
type submissionBody struct {
	Kind           string           `json:"kind"`
	DeadlineMillis int64            `json:"deadlineMillis"`
	Tasks          []submissionTask `json:"tasks"`
}

// submissionTask is one task of a submission.
type submissionTask struct {
	Payload json.RawMessage `json:"payload"`
}

func (e *Entry) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.limits.GetMaxBodyBytes()))
	if err != nil {
		e.unread(w, err)
		return
	}
	s, refused := parseSubmission(r, body)
	if refused != nil {
		e.count(refused)
		refuse(w, refused)
		return
	}
	if !e.gate.Enter() {
		e.refuseUnheld(r.Context(), w, s, leavingRefusal())
		return
	}
	defer e.gate.Leave()
	e.answer(r.Context(), w, s)
}

// unread answers a submission whose body could not be read. The same content
// may have run through an entry with other limits, so that nothing is said of
// its outcome.
func (e *Entry) unread(w http.ResponseWriter, err error) {
	r := &refusal{status: http.StatusBadRequest, reason: "badBody", detail: "the body ended early"}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		r = &refusal{
			status: http.StatusRequestEntityTooLarge, reason: "bodyTooLarge",
			detail: fmt.Sprintf("a body has at most %d bytes", tooLarge.Limit),
		}
	}
	e.count(r)
	problem(w, r.status, "", r.reason, r.detail)
}

// parseSubmission reads a submission. What it refuses can't have run through
// any entry, whatever its settings: the rules here are the same everywhere.
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
			return nil, badField("Submitted-At", "badField", "the header must be a time as in RFC 3339")
		}
		s.submittedAt = t.UnixMilli()
	}
	b, refused := parseBody(body)
	if refused != nil {
		return nil, refused
	}
	s.spec = &wire.JobSpec{Service: r.PathValue("service"), Kind: b.Kind, Team: team, DeadlineMillis: b.DeadlineMillis}
	for _, task := range b.Tasks {
		s.spec.Payloads = append(s.spec.Payloads, task.Payload)
	}
	digest := sha256.Sum256(append([]byte(s.spec.GetService()+"\n"+team+"\n"), body...))
	s.digest = digest[:]
	return s, nil
}

func parseBody(body []byte) (*submissionBody, *refusal) {
	var b submissionBody
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&b); err != nil {
		return nil, badBody(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, badField("", "badBody", "something follows the JSON object")
	}
	switch {
	case b.Kind == "" || len(b.Kind) > maxNameLength:
		return nil, badField("kind", "badField", "the kind must have 1 to 128 characters")
	case b.DeadlineMillis < 0 || b.DeadlineMillis > maxDeadline.Milliseconds():
		return nil, badField("deadlineMillis", "badField", fmt.Sprintf("the deadline must be 0 to %d ms", maxDeadline.Milliseconds()))
	case len(b.Tasks) == 0:
		return nil, badField("tasks", "badField", "a job has at least one task")
	}
	for n, task := range b.Tasks {
		if len(task.Payload) == 0 {
			return nil, badField(fmt.Sprintf("tasks[%d].payload", n), "badField", "a task has a payload")
		}
	}
	return &b, nil
}

// badBody names the field at fault where the decoder tells it.
func badBody(err error) *refusal {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return badField(wrongType.Field, "badField", fmt.Sprintf("a %s does not fit here", wrongType.Value))
	}
	if _, name, found := strings.Cut(err.Error(), "unknown field "); found {
		return badField(strings.Trim(name, `"`), "badField", "no such field")
	}
	return badField("", "badBody", err.Error())
}

// printable tells whether s has least to most characters, all of them
// printable ASCII.
func printable(s string, least, most int) bool {
	if len(s) < least || len(s) > most {
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
