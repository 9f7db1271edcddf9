package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// longRun is the run time of the longer tasks, in milliseconds: some of them
// run at the time of any fault.
const longRun = 700

// load returns a function that submits small jobs by n callers until its
// context ends.
func (s *system) load(prefix string, n int) func(ctx context.Context) {
	return func(ctx context.Context) {
		var callers sync.WaitGroup
		for c := range n {
			callers.Go(func() { (&caller{s: s, prefix: fmt.Sprintf("%s-%d", prefix, c), entry: c}).loop(ctx) })
		}
		callers.Wait()
	}
}

// caller submits one job after another. It sends some at two entries at once,
// some again after their answer, and whatever got no answer.
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
			run = longRun
		}
		j := newJob(fmt.Sprintf("%s-%d", c.prefix, i), kind, 1+i%6, run)
		if i%4 < 2 {
			j = j.stamped()
		}
		c.sent = append(c.sent, j)
		var copies sync.WaitGroup
		if i%3 == 0 {
			copies.Go(func() { c.insist(j, c.entry+1) })
		}
		c.insist(j, c.entry)
		copies.Wait()
		if i%4 == 0 {
			c.insist(c.sent[i/2], c.entry+1)
		}
	}
}

// insist sends a job until there is an answer, at one entry after the other.
func (c *caller) insist(j job, entry int) {
	for n := range 4 {
		if c.s.send((entry+n)%len(c.s.entries), j).final() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// settleAll polls every key that was submitted until it has an outcome, or
// nothing is known of it.
func (s *system) settleAll() {
	s.t.Helper()
	keys := map[string]bool{}
	for _, a := range s.journal.all() {
		keys[a.job.key] = true
	}
	var pollers sync.WaitGroup
	places := make(chan struct{}, 16)
	for key := range keys {
		places <- struct{}{}
		pollers.Go(func() {
			defer func() { <-places }()
			eventually(s.t, key+" is settled", func() bool {
				got := s.journal.poll(s.t.Context(), s.entries[0].link.address(), key)
				return got.final() || got.status == http.StatusNotFound
			})
		})
	}
	pollers.Wait()
}

// awaitDead waits until a worker is no member any more.
func (s *system) awaitDead(agent int) {
	s.t.Helper()
	eventually(s.t, s.agents[agent].id+" is out", func() bool {
		code, output := command(s.t, "status", "--control", s.controls[0].link.address())
		return code == 0 && !containsWord(output, s.agents[agent].id)
	})
}
