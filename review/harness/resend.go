package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"skylarklane.example/platform/standin"
)

const (
	// oldResend and newResend are retransmit_ms before and after the change.
	oldResend = 1300 * time.Millisecond
	newResend = 700 * time.Millisecond
	// rounds is how often an entry is killed under a job: each once.
	rounds = 2
)

// playResend changes retransmit_ms in the settings files of entries and agents,
// and then kills entries that run a job. The caller sends the job again, at the
// other entry, retransmit_ms after its channel has broken.
func playResend(ctx context.Context, c *cluster, trouble bool) (verdict, error) {
	var v verdict
	resend := oldResend
	if trouble {
		resend = newResend
		if err := c.hangUp(append(append([]*process{}, c.agents...), c.entries...), "retransmit_ms", newResend.Milliseconds()); err != nil {
			return v, err
		}
		time.Sleep(contact)
	}
	for round := range rounds {
		if err := c.resendOnce(ctx, round, resend); err != nil {
			return v, err
		}
	}
	for _, line := range c.checker.Violations() {
		if strings.HasPrefix(line, "TWICE") {
			v.addf("%s", line)
		}
	}
	return v, nil
}

// resendOnce kills the entry that runs a job, and sends the job again at the
// other one.
func (c *cluster) resendOnce(ctx context.Context, round int, resend time.Duration) error {
	at := round % 2
	// The job takes more than half a worker, so its second run is at the other one.
	job := standin.NewJob(uint64(0xd0+round), 1, 2*time.Second)
	job.Steps[0].CPU = 5000
	broken := make(chan time.Time, 1)
	submitCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	go func() {
		c.caller.SubmitOnce(submitCtx, job, at)
		broken <- time.Now()
	}()
	time.Sleep(500 * time.Millisecond)
	c.checker.Note(fmt.Sprintf("SIGKILL to %s", c.entries[at].settings["node_name"]))
	c.entries[at].kill()
	time.Sleep(time.Until((<-broken).Add(resend)))
	result := c.caller.SubmitOnce(submitCtx, job, 1-at)
	for result.Status == http.StatusServiceUnavailable && submitCtx.Err() == nil {
		time.Sleep(time.Second)
		result = c.caller.SubmitOnce(submitCtx, job, 1-at)
	}
	if result.Status != http.StatusOK {
		return fmt.Errorf("the job is answered with status %d", result.Status)
	}
	if err := c.entries[at].start(); err != nil {
		return err
	}
	return c.waitServed(ctx)
}
