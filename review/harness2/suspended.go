package main

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

// suspendedFor is how long the machine is suspended.
const suspendedFor = 2500 * time.Millisecond

// suspended suspends a side machine, the agent and the worker with it, while the
// worker runs a task of 3.5 s.
func suspended(c *cluster, trouble bool) error {
	a := kind{labels: []string{"a", "r1-1"}, capacity: vector{CPU: 16000, Mem: 32768}}
	if err := c.start(3, 2, []kind{a, a}); err != nil {
		return err
	}
	var client sync.WaitGroup
	one := c.jobs.newJob(1, 1, 3500*time.Millisecond, step{CPU: 2000, Mem: 64})
	client.Go(func() { c.submit(context.Background(), c.entries[0], one, 12*time.Second) })
	at := -1
	found := waitFor(2*time.Second, func() bool {
		for i, w := range c.workers {
			if w.current().running() > 0 {
				at = i
			}
		}
		return at >= 0
	})
	if !found {
		return errors.New("the task wasn't started")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		c.agents[at].signal(syscall.SIGSTOP)
		c.workers[at].current().suspend()
		time.Sleep(suspendedFor)
		c.workers[at].current().resume()
		c.agents[at].signal(syscall.SIGCONT)
	}
	client.Wait()
	return nil
}
