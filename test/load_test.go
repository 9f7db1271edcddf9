package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// longRunMillis is the run time of the long tasks. It is long enough that some of
// them are running whenever a fault is injected.
const longRunMillis = 700

// load returns a function that runs n callers until its context ends.
func (s *system) load(prefix string, n int) func(ctx context.Context) {
	return func(ctx context.Context) {
		var callers sync.WaitGroup
		for c := range n {
			callers.Go(func() { (&caller{s: s, prefix: fmt.Sprintf("%s-%d", prefix, c), entry: c}).loop(ctx) })
		}
		callers.Wait()
	}
}

// caller submits one job after another. It submits some jobs at two entries at
// once, resubmits some that have been answered, and resubmits every job that got
// no outcome.
type caller struct {
	s      *system
	prefix string
	entry  int
	sent   []job
}

func (c *caller) loop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		c.entry++
		kind := []string{"finCheck", "labelRelease"}[i%2]
		run := 10 + i%40
		if i%5 == 0 {
			run = longRunMillis
		}
		j := newJob(fmt.Sprintf("%s-%d", c.prefix, i), kind, 1+i%6, run)
		if i%4 < 2 {
			j = j.withSubmissionTime()
		}
		c.sent = append(c.sent, j)
		var copies sync.WaitGroup
		if i%3 == 0 {
			copies.Go(func() { c.sendUntilOutcome(j, c.entry+1) })
		}
		c.sendUntilOutcome(j, c.entry)
		copies.Wait()
		if i%4 == 0 {
			c.sendUntilOutcome(c.sent[i/2], c.entry+1)
		}
	}
}

// sendUntilOutcome submits a job up to four times, at one entry after the other,
// until an answer has an outcome.
func (c *caller) sendUntilOutcome(j job, entry int) {
	for n := range 4 {
		if c.s.send((entry+n)%len(c.s.entries), j).hasOutcome() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// awaitAllOutcomes polls every recorded key until it has an outcome or is not
// found.
func (s *system) awaitAllOutcomes() {
	s.t.Helper()
	keys := map[string]bool{}
	for _, a := range s.recorder.all() {
		keys[a.job.key] = true
	}
	var pollers sync.WaitGroup
	pollSlots := make(chan struct{}, 16)
	for key := range keys {
		pollSlots <- struct{}{}
		pollers.Go(func() {
			defer func() { <-pollSlots }()
			eventually(s.t, key+" has an outcome or is not found", func() bool {
				got := s.recorder.poll(s.t.Context(), s.entries[0].link.address(), key)
				return got.hasOutcome() || got.status == http.StatusNotFound
			})
		})
	}
	pollers.Wait()
}

// awaitRemoval waits until a worker is no longer listed as a member.
func (s *system) awaitRemoval(agent int) {
	s.t.Helper()
	eventually(s.t, s.agents[agent].id+" is no longer listed as a member", func() bool {
		code, output := runCommand(s.t, "status", "--control", s.controls[0].link.address())
		return code == 0 && !containsWord(output, s.agents[agent].id)
	})
}
