// Package caller sends the jobs of a trace to the entries, each at its intended
// time whatever became of the others, and notes the answers.
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
	// answerTimeout bounds the wait for an answer, from the send time.
	answerTimeout  = 60 * time.Second
	retryPause     = 100 * time.Millisecond
	resubmitAfter  = 50 * time.Millisecond
	cancelAfter    = 30 * time.Millisecond
	maxIdlePerHost = 1024
)

// Caller sends jobs.
type Caller struct {
	client  *http.Client
	entries []string
	begin   time.Time
	jobs    []trace.Job
	answers []Answer
	wave    chan struct{}
	sent    atomic.Int64
	done    atomic.Int64
}

// New returns a caller that sends jobs to the entries in turn.
func New(entries []string, jobs []trace.Job) *Caller {
	return &Caller{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost}},
		entries: entries,
		jobs:    jobs,
		answers: make([]Answer, len(jobs)),
		wave:    make(chan struct{}),
	}
}

// Run sends all jobs and returns their answers once each has one.
func (c *Caller) Run(ctx context.Context) []Answer {
	c.begin = time.Now()
	defer c.client.CloseIdleConnections()
	var calls sync.WaitGroup
	for n, job := range c.jobs {
		if !sleepUntil(ctx, c.begin.Add(job.At)) {
			break
		}
		calls.Go(func() { c.runJob(ctx, n) })
	}
	calls.Wait()
	return c.answers
}

// CancelAll cancels every job that was sent and has no answer yet.
func (c *Caller) CancelAll() { close(c.wave) }

// Progress returns how many jobs were sent and how many were answered.
func (c *Caller) Progress() (sent, done int64) { return c.sent.Load(), c.done.Load() }

func (c *Caller) runJob(ctx context.Context, n int) {
	job := c.jobs[n]
	ctx, cancel := context.WithDeadline(ctx, c.begin.Add(job.At+answerTimeout))
	defer cancel()
	c.sent.Add(1)
	defer c.done.Add(1)
	answered := make(chan struct{})
	cancelled := make(chan bool, 1)
	go c.runCancel(ctx, job, answered, cancelled)
	second := make(chan Answer, 1)
	if job.Resubmit {
		go c.runSecond(ctx, job, second)
	}
	answer := c.submit(ctx, job, 0)
	answer.Response = time.Since(c.begin.Add(job.At))
	close(answered)
	answer.Cancelled = <-cancelled
	if job.Resubmit {
		again := <-second
		answer.Again = &again
	}
	c.answers[n] = answer
}

// runSecond sends the job again under the same key, to another entry.
func (c *Caller) runSecond(ctx context.Context, job trace.Job, second chan<- Answer) {
	sleepUntil(ctx, time.Now().Add(resubmitAfter))
	second <- c.submit(ctx, job, 1)
}

// runCancel cancels the job at a wave, or where its trace says so.
func (c *Caller) runCancel(ctx context.Context, job trace.Job, answered <-chan struct{}, cancelled chan<- bool) {
	var own <-chan time.Time
	if job.Cancel {
		own = time.After(cancelAfter)
	}
	select {
	case <-answered:
		cancelled <- false
		return
	case <-c.wave:
	case <-own:
	}
	url := "http://" + c.entries[job.Entry%len(c.entries)] + "/v1/jobs/" + job.Key
	if request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil); err == nil {
		c.send(request)
	}
	cancelled <- true
}

// submit sends the job until an entry answers, beginning with the entry that
// is offset after the job's own.
func (c *Caller) submit(ctx context.Context, job trace.Job, offset int) Answer {
	text := encode(job)
	for sends := 1; ; sends++ {
		entry := c.entries[(job.Entry+offset+sends-1)%len(c.entries)]
		status, reply, ok := c.post(ctx, entry, job, text)
		if ok {
			r := read(status, reply, len(job.Runs))
			return Answer{Job: job, Outcome: r.outcome, Reason: r.reason, Sends: sends, At: time.Now()}
		}
		if !sleepUntil(ctx, time.Now().Add(retryPause)) {
			return Answer{Job: job, Outcome: Lost, Reason: "noAnswer", Sends: sends, At: time.Now()}
		}
	}
}

func (c *Caller) post(ctx context.Context, entry string, job trace.Job, text []byte) (int, []byte, bool) {
	url := "http://" + entry + "/v1/services/" + job.Service + "/jobs"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return 0, nil, false
	}
	request.GetBody = nil
	request.Header.Set("Idempotency-Key", job.Key)
	request.Header.Set("Submitted-At", c.begin.Add(job.At).UTC().Format(time.RFC3339Nano))
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
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, text, err == nil
}

// sleepUntil waits until t; it returns false where ctx ended first.
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
