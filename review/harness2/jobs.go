package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients send it.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	Mem         int64  `json:"mem_mb"`
	Estimate    int64  `json:"estimate_ms"`
	After       []int  `json:"after,omitempty"`
	Constraints string `json:"constraints,omitempty"`
}

// job is a best-effort job. Its spec begins with the work of each task in
// milliseconds.
type job struct {
	ID    string
	Spec  string
	Steps []step
}

type liveRun struct {
	boot  *boot
	run   uint32
	begun time.Time
}

// jobs knows what was submitted, and sees all starts and ends.
type jobs struct {
	rec *record

	mu   sync.Mutex
	byID map[string]job
	live map[string]map[*boot]liveRun
	// starts counts the runs that have started.
	starts int
}

func newJobs(rec *record) *jobs {
	return &jobs{rec: rec, byID: map[string]job{}, live: map[string]map[*boot]liveRun{}}
}

// newJob returns a submitted job of n tasks.
func (j *jobs) newJob(number uint64, n int, work time.Duration, s step) job {
	s.Count = n
	s.Estimate = work.Milliseconds()
	one := job{ID: fmt.Sprintf("%016x", number), Spec: fmt.Sprintf("%d of job %d", work.Milliseconds(), number), Steps: []step{s}}
	j.add(one)
	return one
}

func (j *jobs) add(one job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byID[one.ID] = one
}

// started judges the start of a task, and returns what it needs and how long it
// works.
func (j *jobs) started(b *boot, task string, run uint32, spec string) (vector, time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts++
	j.rec.logf("%s starts %s run %d", b.name, task, run)
	one, s, ok := j.find(task)
	if !ok || one.Spec != spec {
		j.rec.breakf("UNASKED", "%s is told to start %s with spec %q", b.name, task, spec)
		return vector{}, 10 * time.Millisecond
	}
	if !hasLabel(b.kind.labels, s.Constraints) {
		j.rec.breakf("ROUTE", "%s (labels %v) starts %s, whose constraints are %q", b.name, b.kind.labels, task, s.Constraints)
	}
	for other, r := range j.live[task] {
		j.rec.breakf("TWICE", "%s run %d starts at %s while run %d is at work at %s since %d ms", task, run, b.name, r.run, other.name, r.begun.Sub(j.rec.began).Milliseconds())
	}
	if j.live[task] == nil {
		j.live[task] = map[*boot]liveRun{}
	}
	j.live[task][b] = liveRun{b, run, time.Now()}
	word, _, _ := strings.Cut(spec, " ")
	millis, _ := strconv.Atoi(word)
	return vector{CPU: s.CPU, Mem: s.Mem}, time.Duration(millis) * time.Millisecond
}

func (j *jobs) ended(b *boot, task string, run uint32, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.live[task], b)
	j.rec.logf("%s ends %s run %d: %s", b.name, task, run, how)
}

// find returns the job and the step of a task named ID.K.STEP.INDEX.
func (j *jobs) find(task string) (job, step, bool) {
	parts := strings.Split(task, ".")
	one, ok := j.byID[parts[0]]
	if !ok || len(parts) != 4 || parts[1] != "0" {
		return job{}, step{}, false
	}
	s, err := strconv.Atoi(parts[2])
	i, err2 := strconv.Atoi(parts[3])
	if err != nil || err2 != nil || s < 0 || s >= len(one.Steps) || i < 0 || i >= one.Steps[s].Count {
		return job{}, step{}, false
	}
	return one, one.Steps[s], true
}
