package main

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	// cancelAfter is when the client cancels, counted from its POST.
	cancelAfter = time.Second
	cancelMS    = 3000
	stopMS      = 50
	// stepWork is the work of each step's task.
	stepWork = 2500 * time.Millisecond
)

// cancelled cancels a best-effort job of three steps while its first step runs.
func cancelled(c *cluster, trouble bool) error {
	a := kind{labels: []string{"a", "r1-1"}, capacity: vector{CPU: 16000, Mem: 32768}}
	if err := c.start(3, 2, []kind{a, a}); err != nil {
		return err
	}
	s := step{Count: 1, CPU: 2000, Mem: 64, Estimate: stepWork.Milliseconds()}
	one := c.jobs.newJob(1, 1, stepWork, s)
	for i := range 2 {
		s.After = []int{i}
		one.Steps = append(one.Steps, s)
	}
	c.jobs.add(one)
	var client sync.WaitGroup
	client.Go(func() { c.submit(context.Background(), c.entries[0], one, 20*time.Second) })
	time.Sleep(cancelAfter)
	if trouble {
		r, err := http.NewRequest(http.MethodDelete, "http://"+c.entries[0].address("front")+prefix+one.ID, nil)
		if err != nil {
			return err
		}
		r.Host = host
		c.rec.logf("client sends DELETE for job %s to %s", one.ID, c.entries[0].name)
		response, err := c.client.Do(r)
		if err != nil {
			return err
		}
		response.Body.Close()
		c.rec.logf("client gets %d for its DELETE", response.StatusCode)
		if response.StatusCode/100 == 2 || response.StatusCode == http.StatusGone {
			c.jobs.cancel(one.ID)
		}
	}
	client.Wait()
	return nil
}
