package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// switchboard is the address of a worker. It passes channels on to the worker's
// present boot. When the boot goes dark, its open channels go silent.
type switchboard struct {
	listener net.Listener

	mu sync.Mutex
	// target is the address of the present boot, empty while there is none.
	target string
	// dark is closed when the present boot goes dark.
	dark  chan struct{}
	conns []net.Conn
}

func newSwitchboard(ip string) (*switchboard, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &switchboard{listener: l, dark: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.add(conn)
		}
	}()
	return s, nil
}

// add connects a channel to the present boot. Without one it stays silent.
func (s *switchboard) add(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, conn)
	if s.target == "" {
		return
	}
	boot, err := net.Dial("tcp", s.target)
	if err != nil {
		return
	}
	s.conns = append(s.conns, boot)
	go pump(boot, conn, s.dark)
	go pump(conn, boot, s.dark)
}

// pump forwards one direction of a channel until the boot goes dark.
func pump(to, from net.Conn, dark <-chan struct{}) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-dark:
			return // the channel stays open and silent
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// connect makes a boot the present one.
func (s *switchboard) connect(target string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target = target
}

// goDark silences the channels of the present boot.
func (s *switchboard) goDark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.target = ""
	close(s.dark)
	s.dark = make(chan struct{})
}

func (s *switchboard) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// taskRun is a run at a boot.
type taskRun struct {
	number  uint32
	cpu     int64
	endsAt  time.Time
	stopped bool
}

// boot is one start of a worker, which runs what it is told to.
type boot struct {
	id, label string
	cpu       int64
	note      func(string)
	broken    func(string)
	born      time.Time
	server    *http.Server
	address   string

	mu       sync.Mutex
	fence    uint64
	lease    time.Time
	runs     map[string]*taskRun
	lastRun  map[string]uint32
	ends     [][]any
	number   uint64
	sequence uint64
}

// taskNeed is what each task of the case needs, taskLabel the label that its step asks for.
const (
	taskNeed  = 3000
	taskLabel = "a"
)

func startBoot(ip, id, label string, cpu int64, note, broken func(string)) (*boot, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	b := &boot{
		id: id, label: label, cpu: cpu, note: note, broken: broken, born: time.Now(), address: l.Addr().String(),
		runs: map[string]*taskRun{}, lastRun: map[string]uint32{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", b.serve(b.start))
	mux.HandleFunc("POST /api/run-stop", b.serve(b.stop))
	mux.HandleFunc("POST /api/hold", b.serve(b.hold))
	b.server = &http.Server{Handler: mux}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Cursor   uint64 `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// serve decodes an order, carries it out and answers.
func (b *boot) serve(carryOut func(order) (string, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var q order
		if json.NewDecoder(r.Body).Decode(&q) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("Skylarklane-Expected-Instance") != b.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		reason, body := carryOut(q)
		status := http.StatusOK
		if body == nil {
			body = map[string]any{}
		}
		if reason != "" {
			status, body = http.StatusConflict, map[string]any{"reason": reason}
		}
		body["clock_ms"], body["born"] = b.clock(), b.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// clock reads the boot's clock, in milliseconds since its start.
func (b *boot) clock() int64 { return 1 + time.Since(b.born).Milliseconds() }

// extend extends the lease to a reading of the boot's clock, by 1,000 ms at most.
func (b *boot) extend(deadline int64) {
	until := b.born.Add(time.Duration(min(deadline, b.clock()+1000)-1) * time.Millisecond)
	if until.After(b.lease) {
		b.lease = until
	}
}

// advance ends the runs that are done, or whose lease has expired.
func (b *boot) advance() {
	now := time.Now()
	for task, r := range b.runs {
		switch {
		case r.stopped:
			b.end(task, r, "stopped")
		case !now.Before(b.lease):
			b.end(task, r, "lapsed")
		case !now.Before(r.endsAt):
			b.end(task, r, "done")
		}
	}
}

func (b *boot) end(task string, r *taskRun, how string) {
	b.note(fmt.Sprintf("worker %s (%s) ends %s run %d: %s", b.id, b.label, task, r.number, how))
	delete(b.runs, task)
	b.lastRun[task] = max(b.lastRun[task], r.number)
	b.number++
	b.ends = append(b.ends, []any{b.number, task, r.number, how, ""})
}

func (b *boot) start(q order) (string, map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	r := b.runs[q.Task]
	switch {
	case q.Fence < b.fence:
		return "fence", nil
	case r != nil && r.number == q.Run:
		b.fence = q.Fence
		b.extend(q.Deadline)
		return "", nil
	case r != nil && q.Run <= r.number || q.Run <= b.lastRun[q.Task]:
		b.extend(q.Deadline)
		return "old", nil
	case q.Deadline <= b.clock():
		return "late", nil
	}
	b.fence = q.Fence
	b.extend(q.Deadline)
	work, _, _ := strings.Cut(q.Spec, " ")
	millis, _ := strconv.Atoi(work)
	if r != nil {
		b.end(q.Task, r, "stopped")
	}
	b.runs[q.Task] = &taskRun{number: q.Run, cpu: taskNeed, endsAt: time.Now().Add(time.Duration(millis) * time.Millisecond)}
	text := fmt.Sprintf("worker %s (%s) starts %s run %d", b.id, b.label, q.Task, q.Run)
	b.note(text)
	if b.label != taskLabel {
		b.broken("ROUTE: " + text + ", whose step has the constraint " + taskLabel)
	}
	used := int64(0)
	for _, one := range b.runs {
		used += one.cpu
	}
	if used > b.cpu {
		b.broken(fmt.Sprintf("LIMIT: %s, which takes %d of %d", text, used, b.cpu))
	}
	return "", nil
}

func (b *boot) stop(q order) (string, map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if q.Fence < b.fence {
		return "fence", nil
	}
	b.fence = q.Fence
	b.lastRun[q.Task] = max(b.lastRun[q.Task], q.Run)
	if r := b.runs[q.Task]; r != nil && r.number <= q.Run {
		r.stopped = true
	}
	return "", nil
}

func (b *boot) hold(q order) (string, map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if q.Fence < b.fence {
		return "fence", nil
	}
	b.fence = q.Fence
	if q.Deadline > 0 {
		b.extend(q.Deadline)
	}
	for len(b.ends) > 0 && b.ends[0][0].(uint64) <= q.Cursor {
		b.ends = b.ends[1:]
	}
	for until := time.Now().Add(time.Duration(min(q.Wait, 2000)) * time.Millisecond); len(b.ends) == 0 && time.Now().Before(until); {
		b.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		b.mu.Lock()
		b.advance()
	}
	running := [][]any{}
	for task, r := range b.runs {
		running = append(running, []any{task, r.number, "", 50})
	}
	return "", map[string]any{"running": running, "ended_runs": append([][]any{}, b.ends...)}
}

// report sends one status report to the agent.
func (b *boot) report(agent, address string) {
	b.mu.Lock()
	b.sequence++
	body, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": address, "zone": zones[0], "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": b.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{b.label, "r1-1"},
		"clock_ms": b.clock(), "seq": b.sequence, "born": b.born.UnixMilli(),
	})
	b.mu.Unlock()
	client := &http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+agent+"/api/Instances.Heartbeat/"+b.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	b.note(fmt.Sprintf("worker %s (%s) reports: %d", b.id, b.label, response.StatusCode))
}

// reportUntil sends the first status report after a while, and then one each interval,
// until the context ends.
func (b *boot) reportUntil(ctx context.Context, agent, address string, first, interval time.Duration) {
	wait := first
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		b.report(agent, address)
		wait = interval
	}
}

// rebornWorker has a worker go dark and start again at once under its id, at its
// address, as another kind, and hands in a job of tasks that it may not run.
func rebornWorker(ctx context.Context, trouble bool, note func(string)) (string, string, error) {
	const (
		reportEach  = 1500 * time.Millisecond
		firstReport = 750 * time.Millisecond
		downFor     = 170 * time.Millisecond
		jobAfter    = 20 * time.Millisecond
		tasks       = 36
		crashes     = 4
		calmJobs    = 10
	)
	c, err := prepareCluster(shape{disks: 3, plain: 0, sides: 8})
	if c == nil {
		return "", "", err
	}
	defer c.close()
	if err != nil {
		return "", "", err
	}
	if err := c.startProcesses(ctx); err != nil {
		return "", c.checker.History(""), err
	}
	var mu sync.Mutex
	var broken []string
	addBroken := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, text)
		c.checker.Note(text)
	}
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	type place struct {
		board *switchboard
		now   *boot
		end   context.CancelFunc
	}
	var places []*place
	startAt := func(i int, label string, cpu int64, first time.Duration) error {
		p, m := places[i], c.sides[i]
		b, err := startBoot(m.ip, fmt.Sprintf("i-%08x", 0x7f3a9100+i), label, cpu, c.checker.Note, addBroken)
		if err != nil {
			return err
		}
		bootCtx, end := context.WithCancel(runCtx)
		p.now, p.end = b, end
		p.board.connect(b.address)
		go b.reportUntil(bootCtx, m.role("agent").address("control"), p.board.listener.Addr().String(), first, reportEach)
		return nil
	}
	for i, m := range c.sides {
		board, err := newSwitchboard(m.ip)
		if err != nil {
			return "", c.checker.History(""), err
		}
		defer board.close()
		places = append(places, &place{board: board})
		if err := startAt(i, taskLabel, 16000, 0); err != nil {
			return "", c.checker.History(""), err
		}
	}
	if err := c.publish(ctx, config(1, prefix)); err != nil {
		return "", c.checker.History(""), err
	}
	post := func(number uint64, tasks int, work time.Duration) int {
		body, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("%d %d", work.Milliseconds(), number), "best_effort": true, "steps": []map[string]any{
			{"count": tasks, "cpu": taskNeed, "mem_mb": 64, "estimate_ms": work.Milliseconds(), "constraints": taskLabel},
		}})
		postCtx, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		id := fmt.Sprintf("%016x", number)
		r, err := http.NewRequestWithContext(postCtx, http.MethodPost, "http://"+c.fronts[0].role("entry").address("front")+prefix+id, bytes.NewReader(body))
		if err != nil {
			return 0
		}
		r.Host = hostName
		r.Header.Set("Skylarklane-Deadline-Ms", "5000")
		c.checker.Note(fmt.Sprintf("client: POST of %s, %d tasks of %v with the constraint %s", id, tasks, work, taskLabel))
		response, err := c.client.Do(r)
		if err != nil {
			c.checker.Note("client: POST of " + id + ": no answer")
			return 0
		}
		answer, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		c.checker.Note(fmt.Sprintf("client: POST of %s answered with %d %s", id, response.StatusCode, answer))
		return response.StatusCode
	}
	n := uint64(0x100)
	if err := until(ctx, "jobs are served", func() bool { n++; return post(n, 3, 20*time.Millisecond) == http.StatusOK }); err != nil {
		return "", c.checker.History(""), err
	}
	for crashed := range crashes {
		for range calmJobs {
			n++
			post(n, 1, 50*time.Millisecond)
			time.Sleep(400 * time.Millisecond)
		}
		if trouble {
			p := places[crashed]
			c.checker.Note(p.now.id + " crashes, its channels go silent")
			p.end()
			p.board.goDark()
			time.Sleep(downFor)
			if err := startAt(crashed, "b", 4000, firstReport); err != nil {
				return "", c.checker.History(""), err
			}
			c.checker.Note(p.now.id + " has started again under its id, at its address, as another kind")
		}
		time.Sleep(jobAfter)
		n++
		post(n, tasks-5*crashed, 300*time.Millisecond)
	}
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	if len(broken) == 0 {
		return "", c.checker.History(""), nil
	}
	note(fmt.Sprintf("%d starts break ROUTE or LIMIT", len(broken)))
	return fmt.Sprintf("%d times, the first: %s", len(broken), broken[0]), c.checker.History(""), nil
}
