package cmd

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/process"
	"skylarklane.example/lib/wire"
	"skylarklane.example/skylarklane/internal/system"
)

const (
	tryService       = "sizing"
	tryKind          = "finCheck"
	tryTimeout       = 30 * time.Second
	tryRetryInterval = 50 * time.Millisecond
	tryDeadline      = 10 * time.Second
	tryMinRun        = 50 * time.Millisecond
	tryRunStep       = 10 * time.Millisecond
	tryMaxTasks      = 460
)

// cmdTry is `skylarklane try --tasks 20`.
type cmdTry struct {
	Tasks   int  `help:"Number of tasks of the job (1 to 460)." default:"20"`
	Workers int  `help:"Number of workers, each with an agent and a stand-in backend server with 8 slots (1 to 20)." default:"4"`
	Entries int  `help:"Number of entries (1 to 4)." default:"2"`
	Verbose bool `help:"Print the log lines of all roles."`
}

// Validate implements kong.Validatable.
func (c *cmdTry) Validate() error {
	switch {
	case c.Tasks < 1 || c.Tasks > tryMaxTasks:
		return eris.Errorf("--tasks %d: must be from 1 to %d", c.Tasks, tryMaxTasks)
	case c.Workers < 1 || c.Workers > 20:
		return eris.Errorf("--workers %d: must be from 1 to 20", c.Workers)
	case c.Entries < 1 || c.Entries > 4:
		return eris.Errorf("--entries %d: must be from 1 to 4", c.Entries)
	}
	return nil
}

// Run starts all roles in this process, submits a job and prints its result.
func (c *cmdTry) Run(e *env) error {
	log := slog.New(slog.DiscardHandler)
	if c.Verbose {
		log = process.NewLogger(e.err, "try", false)
	}
	s, err := system.New(e.ctx, system.Options{Workers: c.Workers, Entries: c.Entries, Service: tryService}, log)
	if err != nil {
		return &Error{Op: "try", Kind: KindFailed, Err: err}
	}
	defer s.Close()
	fmt.Fprintf(e.out, "1 control host, %d entries and %d workers run in this process\n", c.Entries, c.Workers)
	if err := c.publish(e, s); err != nil {
		return err
	}
	if err := waitReady(e, s); err != nil {
		return err
	}
	return c.submit(e, s)
}

func (c *cmdTry) publish(e *env, s *system.System) error {
	kind := &wire.Kind{
		Name: tryKind, Urgency: wire.Urgency_URGENCY_URGENT, Idempotent: true, MaxTasks: tryMaxTasks,
		ExpectedRunMillis: tryMinRun.Milliseconds(), DeadlineMillis: tryDeadline.Milliseconds(),
	}
	request := &wire.PublishRequest{
		ChangeId: rand.Text(), Author: "try",
		Services: []*wire.Service{{Name: tryService, Kinds: []*wire.Kind{kind}}},
	}
	hosts := controlFlag{Control: []string{s.Control()}, Timeout: tryTimeout}
	reply, err := callControl(e, hosts, func(ctx context.Context, control wire.Control) (*wire.PublishReply, error) {
		return control.Publish(ctx, request)
	})
	if err != nil {
		return &Error{Op: "try", Kind: KindFailed, Err: eris.Wrap(err, "publishing failed")}
	}
	if !reply.GetAccepted() {
		return &Error{Op: "try", Kind: KindFailed, Err: refusalError(reply)}
	}
	found, err := hosts.awaitApplied(e, reply.GetVersion())
	if err != nil {
		return err
	}
	if len(found.behind) > 0 {
		return &Error{Op: "try", Kind: KindFailed, Err: eris.Errorf("members that have not applied the configuration: %v", found.behind)}
	}
	fmt.Fprintf(e.out, "configuration version %d is in force at all %d members\n", reply.GetVersion(), found.members)
	return nil
}

// waitReady waits until every entry is ready to accept jobs.
func waitReady(e *env, s *system.System) error {
	ctx, cancel := context.WithTimeout(e.ctx, tryTimeout)
	defer cancel()
	for _, entry := range s.Entries() {
		for !isReady(ctx, e.client, entry) {
			select {
			case <-ctx.Done():
				return &Error{Op: "try", Kind: KindFailed, Err: eris.Errorf("the entry at %s did not become ready", entry)}
			case <-time.After(tryRetryInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, client *http.Client, entry string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// tryTask is the payload of one task; a stand-in runs it for RunMillis.
type tryTask struct {
	Payload struct {
		RunMillis int64 `json:"runMillis"`
		Value     int   `json:"value"`
	} `json:"payload"`
}

// tryJob is the request body of the job.
type tryJob struct {
	Kind  string    `json:"kind"`
	Tasks []tryTask `json:"tasks"`
}

func (c *cmdTry) job() tryJob {
	job := tryJob{Kind: tryKind, Tasks: make([]tryTask, c.Tasks)}
	for n := range job.Tasks {
		job.Tasks[n].Payload.RunMillis = (tryMinRun + time.Duration(n%20)*tryRunStep).Milliseconds()
		job.Tasks[n].Payload.Value = n
	}
	return job
}

func (c *cmdTry) submit(e *env, s *system.System) error {
	body, err := json.Marshal(c.job())
	if err != nil {
		return err
	}
	key := "try-" + rand.Text()
	first, err := c.send(e, s.Entries()[0], key, body)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s\n", bytes.TrimSpace(first.body))
	fmt.Fprintf(e.out, "answered in %d ms by %s; %d starts\n", first.took.Milliseconds(), s.Entries()[0], s.Starts())
	last := s.Entries()[len(s.Entries())-1]
	second, err := c.send(e, last, key, body)
	if err != nil {
		return err
	}
	if !bytes.Equal(first.body, second.body) {
		return &Error{Op: "try", Kind: KindFailed, Err: eris.New("a repeated request with the same key got a different response")}
	}
	fmt.Fprintf(e.out, "sent again to %s: the same answer in %d ms; %d starts\n", last, second.took.Milliseconds(), s.Starts())
	return nil
}

// tryAnswer is a response and the time it took.
type tryAnswer struct {
	status int
	body   []byte
	took   time.Duration
}

// send submits the job, and again with the same key while the entry responds
// that it is unavailable.
func (c *cmdTry) send(e *env, entry, key string, body []byte) (tryAnswer, error) {
	ctx, cancel := context.WithTimeout(e.ctx, tryTimeout)
	defer cancel()
	for {
		answer, err := post(ctx, e.client, entry, key, body)
		if err != nil {
			return tryAnswer{}, err
		}
		if answer.status == http.StatusOK {
			return answer, nil
		}
		if answer.status != http.StatusServiceUnavailable {
			return tryAnswer{}, &Error{Op: "try", Kind: KindFailed, Err: eris.Errorf("status %d: %s", answer.status, answer.body)}
		}
		select {
		case <-ctx.Done():
			return tryAnswer{}, &Error{Op: "try", Kind: KindFailed, Err: eris.Errorf("still status %d: %s", answer.status, answer.body)}
		case <-time.After(tryRetryInterval):
		}
	}
}

func post(ctx context.Context, client *http.Client, entry, key string, body []byte) (tryAnswer, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/v1/services/"+tryService+"/jobs", bytes.NewReader(body))
	if err != nil {
		return tryAnswer{}, err
	}
	r.Header.Set("Idempotency-Key", key)
	begin := time.Now()
	response, err := client.Do(r)
	if err != nil {
		return tryAnswer{}, &Error{Op: "try", Kind: KindFailed, Err: eris.Wrap(err, "no response")}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return tryAnswer{}, &Error{Op: "try", Kind: KindFailed, Err: eris.Wrap(err, "the response was truncated")}
	}
	return tryAnswer{status: response.StatusCode, body: text, took: time.Since(begin)}, nil
}
