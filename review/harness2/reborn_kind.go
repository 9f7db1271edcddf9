package main

import (
	"context"
	"sync"
	"time"
)

const (
	// bootTime is how long the worker is down.
	bootTime = 170 * time.Millisecond
	// firstReport is when the new boot sends its first status report: a worker sends
	// one approximately every heartbeat_ms (1,500).
	firstReport = 750 * time.Millisecond
)

// rebornKind crashes two of three workers, one after the other. Each starts again
// under its id and at its address as another kind with less room. Clients hand in a
// job each second that needs the first kind; one comes soon after each new boot has
// started.
func rebornKind(c *cluster, trouble bool) error {
	a := kind{labels: []string{"a", "r1-1"}, capacity: vector{CPU: 16000, Mem: 32768}}
	b := kind{labels: []string{"b", "r1-1"}, capacity: vector{CPU: 4000, Mem: 8192}}
	if err := c.start(3, 2, []kind{a, a, a}); err != nil {
		return err
	}
	var clients sync.WaitGroup
	submit := func(number int) {
		one := c.jobs.newJob(uint64(number), 14, 200*time.Millisecond, step{CPU: 2000, Mem: 64, Constraints: "a"})
		clients.Go(func() { c.submit(context.Background(), c.entries[number%2], one, 1500*time.Millisecond) })
	}
	crashAt := map[int]*worker{3: c.workers[0], 7: c.workers[1]}
	for second := range 10 {
		began := time.Now()
		if w := crashAt[second]; w != nil && trouble {
			time.Sleep(time.Second - bootTime - 20*time.Millisecond)
			w.crash()
			time.Sleep(bootTime)
			if err := w.start(b, firstReport); err != nil {
				return err
			}
		}
		time.Sleep(time.Until(began.Add(time.Second)))
		submit(second)
	}
	clients.Wait()
	return nil
}
