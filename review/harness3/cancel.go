package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"skylarklane.example/platform/standin"
)

const (
	// cancelTime is cancel_ms, ackTime ack_ms and contactTime contact_ms of the settings.
	cancelTime  = 3 * time.Second
	ackTime     = 4 * time.Second
	contactTime = 3 * time.Second
	prefix      = "/check/"
	// callTimeout is how long a client waits for the answer to a DELETE.
	callTimeout = 2 * time.Second
)

// config returns the first configuration: one service, and a route of jobs that may
// take up to 40 s.
func config(version int, prefixes ...string) standin.Config {
	c := standin.NewConfig(version, hostName, serviceName, prefixes...)
	for i := range c.Routes {
		c.Routes[i].TimeoutMS = 40_000
	}
	return c
}

// chain returns a job of n steps of one task each, which run one after another.
func chain(number uint64, n int, work time.Duration) standin.Job {
	job := standin.NewJob(number, 1, work)
	for i := 1; i < n; i++ {
		next := job.Steps[0]
		next.After = []int{i - 1}
		job.Steps = append(job.Steps, next)
	}
	return job
}

// start is a start of a task that a worker accepted, in milliseconds of the record.
type start struct {
	at   int64
	text string
}

var startLine = regexp.MustCompile(`(?m)^ *(\d+) ms (worker \S+ starts (\S+) run \d+)$`)

// startsOf returns the starts of a job's tasks.
func startsOf(c *cluster, id string) []start {
	var found []start
	for _, m := range startLine.FindAllStringSubmatch(c.checker.History(id), -1) {
		at, _ := strconv.ParseInt(m[1], 10, 64)
		found = append(found, start{at, m[2]})
	}
	return found
}

// startAfter describes the starts of a job's tasks later than a reading of the clock of
// the record. It returns an empty string if there is none.
func startAfter(c *cluster, id string, millis int64) string {
	var late []start
	for _, s := range startsOf(c, id) {
		if s.at > millis {
			late = append(late, s)
		}
	}
	if len(late) == 0 {
		return ""
	}
	return fmt.Sprintf("%d starts later than %d ms, the last: %s at %d ms", len(late), millis, late[len(late)-1].text, late[len(late)-1].at)
}

// clock reads the clock of the record.
type clock struct{ began time.Time }

func (k clock) millis() int64 { return time.Since(k.began).Milliseconds() }

// cancel sends DELETE to the entries in turn, beginning at the given one, until one
// answers with 2xx or 410. It returns the time of that answer, 0 if there was none
// within limit.
func cancel(ctx context.Context, c *cluster, k clock, caller *standin.Caller, id string, first int, limit time.Duration) int64 {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	for n := first; ctx.Err() == nil; n++ {
		entry := n % len(c.fronts)
		callCtx, stop := context.WithTimeout(ctx, callTimeout)
		status := caller.CancelOpen(callCtx, id, entry)
		stop()
		c.checker.Note(fmt.Sprintf("client: DELETE of %s at %s answered with %d", id, c.fronts[entry].name, status))
		if status/100 == 2 || status == http.StatusGone {
			return k.millis()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

// deskConfig returns a configuration with a route like those of the site's requests.
func deskConfig(version int) standin.Config {
	c := standin.NewConfig(version, hostName, serviceName, prefix)
	c.Routes[0].TimeoutMS, c.Routes[0].SloMS = 1500, 60
	return c
}

// fullFit returns a job like the site's full fits: 4 tasks of 0.9 s on 6.2 cores.
func fullFit(number uint64) standin.Job {
	job := standin.NewJob(number, 4, 900*time.Millisecond)
	job.Steps[0].CPU = 6200
	return job
}

// lateCopy cancels a job and then has a copy of its request arrive at another entry.
func lateCopy(ctx context.Context, trouble bool, note func(string)) (string, string, error) {
	const (
		clientWaits = 1500 * time.Millisecond
		copyAfter   = 4 * time.Second
		uncancelled = 3
	)
	began := clock{time.Now()}
	c, err := newCluster(ctx, shape{disks: 3, plain: 1, sides: 3}, standin.Resources{CPU: 64000, MemoryMB: 262144}, deskConfig(1))
	if c == nil {
		return "", "", err
	}
	defer c.close()
	if err != nil {
		return "", c.checker.History(""), err
	}
	time.Sleep(contactTime)
	caller := c.caller(prefix)
	job := fullFit(0xa11ce)
	post := func(entry int) standin.Result {
		postCtx, stop := context.WithTimeout(ctx, clientWaits)
		defer stop()
		return caller.SubmitOnce(postCtx, job, entry)
	}
	var others sync.WaitGroup
	defer others.Wait()
	for n := range uncancelled {
		others.Go(func() {
			postCtx, stop := context.WithTimeout(ctx, clientWaits)
			defer stop()
			caller.SubmitOnce(postCtx, fullFit(uint64(0xb0b00+n)), 1+n)
		})
	}
	answered := make(chan standin.Result, 1)
	go func() { answered <- post(0) }()
	if err := until(ctx, "the job runs", func() bool { return len(startsOf(c, job.ID)) > 0 }); err != nil {
		return "", c.checker.History(""), err
	}
	time.Sleep(200 * time.Millisecond)
	acked := cancel(ctx, c, began, caller, job.ID, 1, ackTime)
	first := <-answered
	note(fmt.Sprintf("DELETE acknowledged at %d ms, POST answered with %d %q", acked, first.Status, first.State))
	if acked == 0 || first.Status != http.StatusOK {
		return "", c.checker.History(""), fmt.Errorf("the cancel was not acknowledged, or the job got no 2xx response: %+v", first)
	}
	time.Sleep(copyAfter)
	if trouble {
		c.checker.Note("network: a copy of the POST arrives, seconds after the 2xx response")
		copied := post(2)
		note(fmt.Sprintf("the copy is answered with %d %q", copied.Status, copied.State))
	}
	time.Sleep(time.Second)
	return startAfter(c, job.ID, acked+cancelTime.Milliseconds()), c.checker.History(""), nil
}

// frozenEntry freezes the front machine whose control host leads, and to which clients
// send jobs before it is out of rotation. They cancel the jobs at other machines after a while; then the first one
// wakes.
func frozenEntry(ctx context.Context, trouble bool, note func(string)) (string, string, error) {
	const (
		clients = 30
		// uncancelled is the number of jobs at the other machines that nobody cancels.
		uncancelled = 60
		cancelsAt   = 7350 * time.Millisecond
		wakesAt     = 7800 * time.Millisecond
	)
	began := clock{time.Now()}
	c, err := newCluster(ctx, shape{disks: 4, plain: 2, sides: 3}, standin.Resources{CPU: 16000, MemoryMB: 16384}, config(1, prefix))
	if c == nil {
		return "", "", err
	}
	defer c.close()
	if err != nil {
		return "", c.checker.History(""), err
	}
	frozen := slices.Index(c.disks, c.leader())
	if frozen < 0 {
		return "", c.checker.History(""), errors.New("no control host leads")
	}
	caller := c.caller(prefix)
	time.Sleep(contactTime)
	froze := time.Now()
	if trouble {
		c.disks[frozen].signal(syscall.SIGSTOP)
		c.checker.Note(c.disks[frozen].name + " freezes")
	}
	jobCtx, stop := context.WithTimeout(ctx, 35*time.Second)
	defer stop()
	var all sync.WaitGroup
	var mu sync.Mutex
	acks := map[string]int64{}
	for n := range clients {
		job := chain(uint64(0xf0e00+n), 12, time.Second)
		all.Go(func() {
			time.Sleep(time.Until(froze.Add(time.Duration(200+40*n) * time.Millisecond)))
			caller.SubmitOnce(jobCtx, job, frozen)
		})
		all.Go(func() {
			time.Sleep(time.Until(froze.Add(cancelsAt)))
			ack := cancel(ctx, c, began, caller, job.ID, len(c.disks), 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			acks[job.ID] = ack
		})
	}
	for n := range uncancelled {
		all.Go(func() {
			time.Sleep(time.Until(froze.Add(time.Duration(200+20*n) * time.Millisecond)))
			caller.SubmitOnce(jobCtx, standin.NewJob(uint64(0xbeef00+n), 1, 200*time.Millisecond), (frozen+1+n%(len(c.fronts)-1))%len(c.fronts))
		})
	}
	time.Sleep(time.Until(froze.Add(wakesAt)))
	woke := began.millis()
	if trouble {
		c.disks[frozen].signal(syscall.SIGCONT)
		c.checker.Note(c.disks[frozen].name + " wakes")
	}
	all.Wait()
	broken, acked := "", 0
	for id, ack := range acks {
		if ack == 0 {
			continue
		}
		acked++
		// The core is stable, and the machines are in touch, from contact_ms after the wake.
		if found := startAfter(c, id, max(ack+cancelTime.Milliseconds(), woke+contactTime.Milliseconds())); found != "" {
			broken = found
		}
	}
	note(fmt.Sprintf("%d of %d cancels acknowledged", acked, clients))
	if acked == 0 {
		return "", c.checker.History(""), errors.New("no cancel was acknowledged")
	}
	return broken, c.checker.History(""), nil
}
