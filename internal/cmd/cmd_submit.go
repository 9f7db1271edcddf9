package cmd

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// submitPoll is how long one question for a running job may wait.
	submitPoll = 5 * time.Second
	// submitPause is the pause after a question that was answered at once.
	submitPause = 100 * time.Millisecond
)

// cmdSubmit is `skylarklane submit sizing --kind finCheck --entry 127.0.0.1:7100 tasks.json`.
type cmdSubmit struct {
	Service  string        `arg:"" help:"Service that runs the job."`
	File     string        `arg:"" optional:"" help:"File with the tasks' payloads, JSON values one after another; - for standard input." default:"-"`
	Entry    string        `help:"Address of an entry, IP:port." required:""`
	Kind     string        `help:"Kind of request." required:""`
	Key      string        `help:"Idempotency key; the same key again gets the same answer. A fresh one where absent."`
	Team     string        `help:"Team that the job counts for."`
	Deadline time.Duration `help:"Deadline of the job; the kind's own where absent."`
	Timeout  time.Duration `help:"How long to wait for the answer." default:"2m"`
	outputFlag
}

// submission is the body of a submission.
type submission struct {
	Kind           string        `json:"kind"`
	DeadlineMillis int64         `json:"deadlineMillis,omitempty"`
	Tasks          []taskPayload `json:"tasks"`
}

// taskPayload is one task of a submission.
type taskPayload struct {
	Payload json.RawMessage `json:"payload"`
}

// submitAnswer is an answer, or a problem in place of one.
type submitAnswer struct {
	Key     string `json:"key"`
	Outcome string `json:"outcome"`
	Results []struct {
		Index  int             `json:"index"`
		Result json.RawMessage `json:"result"`
	} `json:"results,omitempty"`
	Reason string `json:"reason,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Run submits the job, waits for its answer and prints it.
func (c *cmdSubmit) Run(e *env) error {
	body, err := c.body()
	if err != nil {
		return &Error{Op: "submit", Kind: KindUsage, Err: err}
	}
	if c.Key == "" {
		c.Key = rand.Text()
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	status, answer, err := c.wait(ctx, e.client, body)
	if err != nil {
		return &Error{Op: "submit", Kind: KindFailed, Err: eris.Wrapf(err, "outcome unknown; submit again with --key %s", c.Key)}
	}
	if err := c.print(e, answer, answer.table()); err != nil {
		return err
	}
	return answer.err(status)
}

func (c *cmdSubmit) body() ([]byte, error) {
	file := os.Stdin
	if c.File != "-" {
		opened, err := os.Open(c.File)
		if err != nil {
			return nil, eris.Wrap(err, "cannot read the tasks")
		}
		defer opened.Close()
		file = opened
	}
	payloads, err := readPayloads(file)
	if err != nil {
		return nil, err
	}
	return json.Marshal(submission{Kind: c.Kind, DeadlineMillis: c.Deadline.Milliseconds(), Tasks: payloads})
}

// readPayloads reads JSON values up to the end of r.
func readPayloads(r io.Reader) ([]taskPayload, error) {
	var payloads []taskPayload
	for decoder := json.NewDecoder(r); ; {
		var payload json.RawMessage
		err := decoder.Decode(&payload)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, eris.Wrapf(err, "payload %d is not JSON", len(payloads))
		}
		payloads = append(payloads, taskPayload{Payload: payload})
	}
	if len(payloads) == 0 {
		return nil, eris.New("no payloads; give one JSON value for each task")
	}
	return payloads, nil
}

// wait submits the job and asks on while it runs.
func (c *cmdSubmit) wait(ctx context.Context, client *http.Client, body []byte) (int, submitAnswer, error) {
	address := "http://" + c.Entry + "/v1/services/" + url.PathEscape(c.Service) + "/jobs"
	status, answer, err := c.call(ctx, client, http.MethodPost, address, body)
	for err == nil && status == http.StatusAccepted {
		address = fmt.Sprintf("http://%s/v1/jobs/%s?waitMillis=%d", c.Entry, url.PathEscape(c.Key), submitPoll.Milliseconds())
		select {
		case <-ctx.Done():
			return 0, answer, ctx.Err()
		case <-time.After(submitPause):
		}
		status, answer, err = c.call(ctx, client, http.MethodGet, address, nil)
	}
	return status, answer, err
}

func (c *cmdSubmit) call(ctx context.Context, client *http.Client, method, address string, body []byte) (int, submitAnswer, error) {
	answer := submitAnswer{Key: c.Key}
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, answer, err
	}
	r.Header.Set("Content-Type", "application/json")
	if method == http.MethodPost {
		r.Header.Set("Idempotency-Key", c.Key)
	}
	if c.Team != "" {
		r.Header.Set("Team", c.Team)
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, answer, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, answer, err
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return 0, answer, eris.Errorf("status %d, and the answer is not JSON", response.StatusCode)
	}
	return response.StatusCode, answer, nil
}

func (a submitAnswer) table() table {
	if a.Outcome != "complete" {
		return table{title: fmt.Sprintf("%s: %s (%s)", a.Key, a.named(), a.Reason)}
	}
	t := table{title: a.Key + ": complete", header: []string{"TASK", "RESULT"}}
	for _, result := range a.Results {
		t.rows = append(t.rows, []string{fmt.Sprint(result.Index), string(result.Result)})
	}
	return t
}

// named returns the outcome as it is printed.
func (a submitAnswer) named() string {
	if a.Outcome == "" {
		return "no outcome"
	}
	return a.Outcome
}

// err returns the error that gives the exit code: refused where nothing ran,
// failed where something may have.
func (a submitAnswer) err(status int) error {
	switch {
	case a.Outcome == "complete":
		return nil
	case a.Outcome == "notRun" || status == http.StatusConflict:
		return &Error{Op: "submit", Kind: KindRefused, Err: eris.Errorf("%s: %s", a.Reason, a.Detail)}
	default:
		return &Error{Op: "submit", Kind: KindFailed, Err: eris.Errorf("%s: %s", a.Reason, a.Detail)}
	}
}
