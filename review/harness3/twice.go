package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"skylarklane.example/platform/standin"
)

// retransmitTime is retransmit_ms of the settings.
const retransmitTime = 1300 * time.Millisecond

// lossyProxy forwards one connection, and resets it towards the client instead of
// passing the answer on.
type lossyProxy struct {
	listener net.Listener
	target   string
	// answered is closed once the answer has arrived.
	answered chan struct{}
}

func newLossyProxy(ip, target string) (*lossyProxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &lossyProxy{listener: l, target: target, answered: make(chan struct{})}
	go p.serve()
	return p, nil
}

func (p *lossyProxy) serve() {
	client, err := p.listener.Accept()
	if err != nil {
		return
	}
	defer client.Close()
	entry, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer entry.Close()
	go func() { _, _ = io.Copy(entry, client) }()
	if _, err := io.ReadAtLeast(entry, make([]byte, 4096), len("HTTP/1.1 200")); err != nil {
		return
	}
	close(p.answered)
	if c, ok := client.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
}

// lostAnswer loses the answer to a job. The client sends the job again after
// retransmit_ms, and a copy of its first request arrives seconds after the 2xx
// response.
func lostAnswer(ctx context.Context, trouble bool, note func(string)) (string, string, error) {
	const (
		work      = 4 * time.Second
		copyAfter = 3 * time.Second
	)
	c, err := newCluster(ctx, shape{disks: 3, plain: 1, sides: 3}, standin.Resources{CPU: 8000, MemoryMB: 4096}, config(1, prefix))
	if c == nil {
		return "", "", err
	}
	defer c.close()
	if err != nil {
		return "", c.checker.History(""), err
	}
	time.Sleep(contactTime)
	proxy, err := newLossyProxy(c.ip(240), c.fronts[0].role("entry").address("front"))
	if err != nil {
		return "", c.checker.History(""), err
	}
	defer proxy.listener.Close()
	caller := c.caller(prefix)
	first := caller
	if trouble {
		first = standin.NewCaller(c.checker, hostName, prefix, proxy.listener.Addr().String())
	}
	job := standin.NewJob(0x7e1ce, 1, work)
	job.Steps[0].CPU = 5000
	jobCtx, stop := context.WithTimeout(ctx, 30*time.Second)
	defer stop()
	result := first.SubmitOnce(jobCtx, job, 0)
	note(fmt.Sprintf("the first request is answered with %d %q to the client", result.Status, result.State))
	if !trouble {
		if result.Status != http.StatusOK || result.State != "completed" {
			return "", c.checker.History(""), fmt.Errorf("the job was not completed: %+v", result)
		}
		return twice(c), c.checker.History(""), nil
	}
	select {
	case <-proxy.answered:
	default:
		return "", c.checker.History(""), fmt.Errorf("the entry has not answered: %v", result.Err)
	}
	responseAt := time.Now()
	c.checker.Note("network: the 2xx response is lost, the client's channel is reset")
	copied := make(chan standin.Result, 1)
	go func() {
		time.Sleep(time.Until(responseAt.Add(copyAfter)))
		c.checker.Note("network: a copy of the first POST arrives, seconds after the 2xx response")
		copied <- caller.SubmitOnce(jobCtx, job, 2)
	}()
	time.Sleep(time.Until(responseAt.Add(retransmitTime)))
	c.checker.Note("client: sends the job again, retransmit_ms after the broken channel")
	again := caller.SubmitOnce(jobCtx, job, 1)
	late := <-copied
	note(fmt.Sprintf("the second request is answered with %d %q, the copy with %d %q", again.Status, again.State, late.Status, late.State))
	_ = until(ctx, "all runs have ended", func() bool { return c.checker.Running() == 0 })
	return twice(c), c.checker.History(""), nil
}

// twice describes the tasks that had two runs at the same time.
func twice(c *cluster) string {
	var found []string
	for _, v := range c.checker.Violations() {
		if strings.HasPrefix(v, "TWICE") {
			found = append(found, v)
		}
	}
	return strings.Join(found, "; ")
}
