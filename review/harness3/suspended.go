package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"skylarklane.example/platform/standin"
)

// suspendedMachine suspends the side machine that runs a task, and resets the channel
// of the job's client meanwhile. The client sends the job again after retransmit_ms.
func suspendedMachine(ctx context.Context, trouble bool, note func(string)) (string, string, error) {
	const (
		work         = 3500 * time.Millisecond
		resetAfter   = 100 * time.Millisecond
		suspendedFor = 2500 * time.Millisecond
	)
	c, err := newCluster(ctx, shape{disks: 3, plain: 1, sides: 11}, standin.Resources{CPU: 8000, MemoryMB: 4096}, config(1, prefix))
	if c == nil {
		return "", "", err
	}
	defer c.close()
	if err != nil {
		return "", c.checker.History(""), err
	}
	time.Sleep(contactTime)
	proxy, err := standin.NewProxy(c.ip(240), c.fronts[0].role("entry").address("front"))
	if err != nil {
		return "", c.checker.History(""), err
	}
	defer proxy.Close()
	first := standin.NewCaller(c.checker, hostName, prefix, proxy.Address())
	job := standin.NewJob(0x5059e, 1, work)
	job.Steps[0].CPU = 5000
	jobCtx, stop := context.WithTimeout(ctx, 12*time.Second)
	defer stop()
	answered := make(chan standin.Result, 1)
	go func() { answered <- first.SubmitOnce(jobCtx, job, 0) }()
	if err := until(ctx, "the job runs", func() bool { return len(startsOf(c, job.ID)) > 0 }); err != nil {
		return "", c.checker.History(""), err
	}
	time.Sleep(500 * time.Millisecond)
	var m *machine
	for _, side := range c.sides {
		if side.worker.Running() > 0 {
			m = side
		}
	}
	if m == nil {
		return "", c.checker.History(""), fmt.Errorf("no machine runs the task")
	}
	if trouble {
		c.checker.Note(m.name + " is suspended")
		m.signal(syscall.SIGSTOP)
		m.worker.Suspend()
		resumed := make(chan struct{})
		time.AfterFunc(suspendedFor, func() {
			m.worker.Resume()
			m.signal(syscall.SIGCONT)
			c.checker.Note(m.name + " goes on")
			close(resumed)
		})
		defer func() { <-resumed }()
		time.Sleep(resetAfter)
		proxy.Reset()
		c.checker.Note("network: the client's channel is reset")
	}
	result := <-answered
	note(fmt.Sprintf("the first request is answered with %d %q", result.Status, result.State))
	if trouble {
		time.Sleep(retransmitTime)
		c.checker.Note("client: sends the job again, retransmit_ms after the broken channel")
		result = c.caller(prefix).SubmitOnce(jobCtx, job, 1)
		note(fmt.Sprintf("the second request is answered with %d %q", result.Status, result.State))
	}
	if result.Status != http.StatusOK && !trouble {
		return "", c.checker.History(""), fmt.Errorf("the job was not completed: %+v", result)
	}
	_ = until(ctx, "all runs have ended", func() bool { return c.checker.Running() == 0 })
	return twice(c), c.checker.History(""), nil
}
