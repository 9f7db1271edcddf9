// Package caller sends the jobs of a trace to the entries and records the
// answers. Each job is sent at its scheduled time, without waiting for others.
package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"skylarklane.example/load/internal/trace"
)

const (
	// answerTimeout limits the wait for an answer, from the scheduled send time.
	answerTimeout  = 60 * time.Second
	retryPause     = 100 * time.Millisecond
	resubmitAfter  = 50 * time.Millisecond
	cancelAfter    = 30 * time.Millisecond
	maxIdlePerHost = 1024
)

// Caller sends the jobs of one trace.
type Caller struct {
	client    *http.Client
	entries   []string
	start     time.Time
	jobs      []trace.Job
	answers   []Answer
	cancelAll chan struct{}
	sent      atomic.Int64
	done      atomic.Int64
}

// New returns a caller that sends each job to the entry that its trace names.
func New(entries []string, jobs []trace.Job) *Caller {
	return &Caller{
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}},
		entries:   entries,
		jobs:      jobs,
		answers:   make([]Answer, len(jobs)),
		cancelAll: make(chan struct{}),
	}
}

// Run sends all jobs and returns the answers once every job has one.
func (c *Caller) Run(ctx context.Context) []Answer {
	c.start = time.Now()
	defer c.client.CloseIdleConnections()
	var running sync.WaitGroup
	for n, job := range c.jobs {
		if !sleepUntil(ctx, c.start.Add(job.At)) {
			break
		}
		running.Go(func() { c.runJob(ctx, n) })
	}
	running.Wait()
	return c.answers
}

// CancelAll cancels every job that was sent and has no answer yet.
func (c *Caller) CancelAll() { close(c.cancelAll) }

// Progress returns how many jobs were sent and how many were answered.
func (c *Caller) Progress() (sent, done int64) { return c.sent.Load(), c.done.Load() }

func (c *Caller) runJob(ctx context.Context, n int) {
	job := c.jobs[n]
	ctx, cancel := context.WithDeadline(ctx, c.start.Add(job.At+answerTimeout))
	defer cancel()
	c.sent.Add(1)
	defer c.done.Add(1)
	answered := make(chan struct{})
	cancelled := make(chan bool, 1)
	go c.cancelOnRequest(ctx, job, answered, cancelled)
	resubmission := make(chan Answer, 1)
	if job.Resubmit {
		go c.resubmit(ctx, job, resubmission)
	}
	answer := c.submit(ctx, job, 0)
	answer.Response = time.Since(c.start.Add(job.At))
	close(answered)
	answer.Cancelled = <-cancelled
	if job.Resubmit {
		again := <-resubmission
		answer.Again = &again
	}
	c.answers[n] = answer
}

// resubmit sends the job a second time with the same idempotency key, to
// another entry.
func (c *Caller) resubmit(ctx context.Context, job trace.Job, resubmission chan<- Answer) {
	sleepUntil(ctx, time.Now().Add(resubmitAfter))
	resubmission <- c.submit(ctx, job, 1)
}

// cancelOnRequest cancels the job when CancelAll is called or, if the trace
// says so, after cancelAfter. It reports on cancelled whether it did.
func (c *Caller) cancelOnRequest(ctx context.Context, job trace.Job, answered <-chan struct{}, cancelled chan<- bool) {
	var cancelTimer <-chan time.Time
	if job.Cancel {
		cancelTimer = time.After(cancelAfter)
	}
	select {
	case <-answered:
		cancelled <- false
		return
	case <-c.cancelAll:
	case <-cancelTimer:
	}
	url := "http://" + c.entries[job.Entry%len(c.entries)] + "/v1/jobs/" + job.Key
	if request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil); err == nil {
		c.send(request)
	}
	cancelled <- true
}

// submit sends the job to one entry after another until one answers, beginning
// offset entries after the one that the trace names.
func (c *Caller) submit(ctx context.Context, job trace.Job, offset int) Answer {
	body := encodeJob(job)
	for sends := 1; ; sends++ {
		entry := c.entries[(job.Entry+offset+sends-1)%len(c.entries)]
		status, reply, ok := c.post(ctx, entry, job, body)
		if ok {
			r := parseResponse(status, reply, len(job.Runs))
			return Answer{Job: job, Outcome: r.outcome, Reason: r.reason, Sends: sends, At: time.Now()}
		}
		if !sleepUntil(ctx, time.Now().Add(retryPause)) {
			return Answer{Job: job, Outcome: Lost, Reason: "noAnswer", Sends: sends, At: time.Now()}
		}
	}
}

func (c *Caller) post(ctx context.Context, entry string, job trace.Job, body []byte) (int, []byte, bool) {
	url := "http://" + entry + "/v1/services/" + job.Service + "/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, false
	}
	request.GetBody = nil
	request.Header.Set("Idempotency-Key", job.Key)
	request.Header.Set("Submitted-At", c.start.Add(job.At).UTC().Format(time.RFC3339Nano))
	if job.Team != "" {
		request.Header.Set("Team", job.Team)
	}
	return c.send(request)
}

func (c *Caller) send(request *http.Request) (int, []byte, bool) {
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil, false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err == nil
}

// sleepUntil waits until t. It returns false if ctx ended first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
