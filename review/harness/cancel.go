package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"skylarklane.example/platform/standin"
)

// Times of the cancelled job. A task of either step takes stepWork.
const (
	stepWork    = 5 * time.Second
	cancelAfter = 500 * time.Millisecond
	jobDeadline = 30 * time.Second
)

// playCancel has a caller cancel a job that runs. The job has two steps; each
// task of the second one starts later than cancel_ms after the cancelling if the
// job goes on.
func playCancel(ctx context.Context, c *cluster, trouble bool) (verdict, error) {
	job := standin.Job{ID: "00000000000000ca", Spec: fmt.Sprintf("%d x", stepWork.Milliseconds()), Steps: []standin.Step{
		{Count: 2, CPU: 1000, MemoryMB: 64, EstimateMS: stepWork.Milliseconds()},
		{Count: 2, CPU: 1000, MemoryMB: 64, EstimateMS: stepWork.Milliseconds(), After: []int{0}},
	}}
	submitCtx, cancel := context.WithTimeout(ctx, jobDeadline)
	defer cancel()
	answered := make(chan standin.Result, 1)
	go func() { answered <- c.caller.SubmitOnce(submitCtx, job, 0) }()
	// One job of four is cancelled.
	for i := range uint64(3) {
		result := c.caller.SubmitOnce(submitCtx, standin.NewJob(0xcb+i, 2, 50*time.Millisecond), int(i%2))
		if result.Status != http.StatusOK {
			return verdict{}, fmt.Errorf("an ordinary job is answered with status %d", result.Status)
		}
	}
	var acknowledged time.Time
	if trouble {
		time.Sleep(cancelAfter)
		var err error
		if acknowledged, err = c.cancelJob(ctx, job.ID); err != nil {
			return verdict{}, err
		}
	}
	return c.watchCancelled(job, acknowledged, answered)
}

// cancelJob sends DELETE for a job to the entry that runs it until it is
// acknowledged, and returns when the cancelling counts as acknowledged: when the
// answer came, or ack_ms after the first call.
func (c *cluster) cancelJob(ctx context.Context, id string) (time.Time, error) {
	first := time.Now()
	for time.Since(first) < ackTime {
		r, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+c.entries[0].listen("front")+prefix+id, nil)
		if err != nil {
			return time.Time{}, err
		}
		r.Host = host
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return time.Time{}, err
		}
		response.Body.Close()
		c.checker.Note(fmt.Sprintf("DELETE of job %s is answered with status %d", id, response.StatusCode))
		if response.StatusCode/100 == 2 || response.StatusCode == http.StatusGone {
			return time.Now(), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return first.Add(ackTime), nil
}

// watchCancelled follows the job's runs at the workers until it is answered and
// nothing of it runs, and checks the rule if it was cancelled.
func (c *cluster) watchCancelled(job standin.Job, acknowledged time.Time, answered <-chan standin.Result) (verdict, error) {
	var v verdict
	result := standin.Result{}
	waiting := true
	seen := map[string]bool{}
	outlived := false
	for waiting || c.checker.Running() > 0 {
		select {
		case result = <-answered:
			waiting = false
		case <-time.After(20 * time.Millisecond):
		}
		if acknowledged.IsZero() {
			continue
		}
		late := time.Since(acknowledged)
		for _, line := range strings.Split(c.checker.History(" starts "+job.ID), "\n") {
			if line == "" || seen[line] {
				continue
			}
			seen[line] = true
			// A start is seen within 20 ms of it.
			if late > cancelTime+100*time.Millisecond {
				v.addf("UNASKED: %v after the cancelling was acknowledged: %s", late.Round(time.Millisecond), strings.TrimSpace(line))
			}
		}
		if late > cancelTime+stopTime+100*time.Millisecond && c.checker.Running() > 0 && !outlived {
			outlived = true
			v.addf("UNASKED: %v after the cancelling was acknowledged %d tasks of the job run", late.Round(time.Millisecond), c.checker.Running())
		}
	}
	if acknowledged.IsZero() && (result.Status != http.StatusOK || result.State != "completed") {
		return v, fmt.Errorf("the job that nobody cancelled is answered with status %d, state %q", result.Status, result.State)
	}
	return v, nil
}
