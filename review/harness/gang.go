package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	workerCPU  = 8000
	gangID     = "00000000000000a0"
	gangCPU    = 3000
	gangSize   = 4
	gangWork   = 500 * time.Millisecond
	hopelessID = "00000000000000b%d"
	// A task of a job that can never be done takes half a worker, and fails.
	hopelessCPU  = 4000
	hopelessWork = 5 * time.Second
	gangDeadline = 40 * time.Second
	// One job in twenty can never be done.
	ordinaryID   = "00000000000001%02x"
	ordinaryJobs = 57
)

// playGang hands in a gang while jobs that can never be done hold three quarters
// of the room. The gang has room later, so no member may end alone.
func playGang(ctx context.Context, c *cluster, trouble bool) (verdict, error) {
	var v verdict
	field := &gangField{jobs: map[string]gangJob{}, runs: map[*gangRun]bool{}, note: c.checker.Note}
	for i, w := range c.workers {
		w.Crash()
		worker, err := newGangWorker("g-"+strconv.Itoa(i), c.agents[i].ip, c.agents[i].listen("control"), workerCPU, field)
		if err != nil {
			return v, err
		}
		defer worker.close()
	}
	time.Sleep(2 * heartbeatInterval)
	ordinary := gangJob{spec: "ordinary", cpu: 1000, work: 10 * time.Millisecond}
	for i := range ordinaryJobs {
		id := fmt.Sprintf(ordinaryID, i)
		field.add(id, ordinary)
		if status, state := c.submitGang(ctx, id, ordinary, 1); status != http.StatusOK {
			return v, fmt.Errorf("an ordinary job is answered with status %d %s", status, state)
		}
	}
	if trouble {
		for i := range 3 {
			id := fmt.Sprintf(hopelessID, i)
			job := gangJob{spec: "hopeless", cpu: hopelessCPU, work: hopelessWork, fails: true}
			field.add(id, job)
			go c.submitGang(ctx, id, job, 1)
		}
		time.Sleep(500 * time.Millisecond)
	}
	job := gangJob{spec: "gang", cpu: gangCPU, work: gangWork, members: gangSize}
	field.add(gangID, job)
	status, state := c.submitGang(ctx, gangID, job, gangSize)
	field.mu.Lock()
	defer field.mu.Unlock()
	for _, run := range field.alone {
		v.addf("GANG: a run ends alone: %s", run)
	}
	if !trouble && (status != http.StatusOK || state != "completed") {
		return v, fmt.Errorf("the gang is answered with status %d, state %q", status, state)
	}
	return v, nil
}

func (f *gangField) add(id string, job gangJob) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[id] = job
}

// submitGang hands a job in at the first entry and waits for the answer. A job
// that is refused is handed in again after a second.
func (c *cluster) submitGang(ctx context.Context, id string, job gangJob, count int) (status int, state string) {
	step := map[string]any{"count": count, "cpu": job.cpu, "mem_mb": 64, "estimate_ms": job.work.Milliseconds()}
	if job.members > 0 {
		step["gang"] = true
	}
	body, err := json.Marshal(map[string]any{"spec": job.spec, "steps": []any{step}, "best_effort": true})
	if err != nil {
		return 0, ""
	}
	ctx, cancel := context.WithTimeout(ctx, gangDeadline)
	defer cancel()
	for ctx.Err() == nil {
		c.checker.Note("job " + id + " is handed in")
		status, state = c.postGang(ctx, id, body)
		c.checker.Note(fmt.Sprintf("job %s is answered with status %d %s", id, status, state))
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return status, state
		}
		time.Sleep(time.Second)
	}
	return status, state
}

func (c *cluster) postGang(ctx context.Context, id string, body []byte) (status int, state string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.entries[0].listen("front")+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	deadline, _ := ctx.Deadline()
	r.Header.Set("Skylarklane-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer.State
}
