package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatMS = 1500
	holdMaxMS   = 1000
	stopTime    = 20 * time.Millisecond
	tick        = 2 * time.Millisecond
	listedEnds  = 500
)

// vector is what a task needs or a worker has.
type vector struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"mem_mb"`
	GPU int64 `json:"gpu"`
}

func (v vector) plus(o vector) vector { return vector{v.CPU + o.CPU, v.Mem + o.Mem, v.GPU + o.GPU} }
func (v vector) within(o vector) bool { return v.CPU <= o.CPU && v.Mem <= o.Mem && v.GPU <= o.GPU }

// kind is what a boot of a worker is.
type kind struct {
	labels   []string
	capacity vector
}

// worker is a worker of the platform, as PROTOCOL describes it. It doesn't guard
// its capacity (admission_control is false). Its boots have one id and one address.
type worker struct {
	id, service, zone, address, agent string
	rec                               *record
	jobs                              *jobs

	mu    sync.Mutex
	boot  *boot
	boots int
}

// boot is one life of a worker.
type boot struct {
	w        *worker
	name     string
	kind     kind
	born     time.Time
	server   *http.Server
	cancel   context.CancelFunc
	mu       sync.Mutex
	sequence uint64
	fence    uint64
	lease    int64
	runs     map[string]*taskRun
	last     map[string]uint32
	ends     []taskEnd
	ended    uint64
	changed  chan struct{}
	closed   bool
	draining bool
	// suspendedAt is set while the machine is suspended, and suspended is how long
	// it was before. resumed is closed when it resumes.
	suspendedAt time.Time
	suspended   time.Duration
	resumed     chan struct{}
}

type taskRun struct {
	run  uint32
	need vector
	// ends and stopsAt are readings of the steady clock; stopsAt is 0 unless the
	// run is being stopped.
	ends, stopsAt time.Duration
}

type taskEnd struct {
	n    uint64
	task string
	run  uint32
	how  string
}

// start begins a new boot. Its first status report is sent after the delay, the
// others each heartbeat_ms.
func (w *worker) start(k kind, firstReport time.Duration) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots++
	b := &boot{w: w, name: w.id + " boot " + strconv.Itoa(w.boots), kind: k, born: time.Now(), cancel: cancel,
		runs: map[string]*taskRun{}, last: map[string]uint32{}, changed: make(chan struct{})}
	b.server = &http.Server{Handler: b.handler()}
	w.boot = b
	w.rec.logf("%s starts at %s: labels %v, capacity %+v", b.name, w.address, k.labels, k.capacity)
	go b.server.Serve(listener)
	go b.work(ctx)
	go b.report(ctx, firstReport)
	return nil
}

func (w *worker) current() *boot {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot
}

// crash ends the current boot at once.
func (w *worker) crash() {
	b := w.current()
	b.cancel()
	b.mu.Lock()
	b.closed = true
	for task, r := range b.runs {
		w.jobs.ended(b, task, r.run, "crashed")
	}
	clear(b.runs)
	b.mu.Unlock()
	b.server.Close()
	w.rec.logf("%s crashes", b.name)
}

// steady returns the reading of the steady clock, which doesn't count the time
// during which the machine is suspended.
func (b *boot) steady() time.Duration {
	if !b.suspendedAt.IsZero() {
		return b.suspendedAt.Sub(b.born) - b.suspended
	}
	return time.Since(b.born) - b.suspended
}

// clock returns the reading of the steady clock as the worker sends it.
func (b *boot) clock() int64 { return 1000 + b.steady().Milliseconds() }

// suspend suspends the worker, as its machine is.
func (b *boot) suspend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspendedAt, b.resumed = time.Now(), make(chan struct{})
	b.w.rec.logf("%s is suspended with its machine", b.name)
}

func (b *boot) resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspended += time.Since(b.suspendedAt)
	b.suspendedAt = time.Time{}
	close(b.resumed)
	b.w.rec.logf("%s resumes with its machine; its lease lasts %d ms", b.name, b.lease-b.clock())
}

// awake waits while the machine is suspended.
func (b *boot) awake() {
	for {
		b.mu.Lock()
		suspended, resumed := !b.suspendedAt.IsZero(), b.resumed
		b.mu.Unlock()
		if !suspended {
			return
		}
		<-resumed
	}
}

func (b *boot) work(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		b.mu.Lock()
		b.advance()
		b.mu.Unlock()
	}
}

// advance ends the runs that are due.
func (b *boot) advance() {
	now, clock := b.steady(), b.clock()
	for task, r := range b.runs {
		switch {
		case clock >= b.lease:
			b.end(task, r, "lapsed")
		case r.stopsAt > 0 && now >= r.stopsAt:
			b.end(task, r, "stopped")
		case now >= r.ends:
			b.end(task, r, "done")
		}
	}
}

func (b *boot) end(task string, r *taskRun, how string) {
	delete(b.runs, task)
	b.last[task] = max(b.last[task], r.run)
	b.ended++
	b.ends = append(b.ends, taskEnd{b.ended, task, r.run, how})
	close(b.changed)
	b.changed = make(chan struct{})
	b.w.jobs.ended(b, task, r.run, how)
}

func (b *boot) used() vector {
	var sum vector
	for _, r := range b.runs {
		sum = sum.plus(r.need)
	}
	return sum
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

func (b *boot) extend(deadline int64) {
	b.lease = max(b.lease, min(deadline, b.clock()+holdMaxMS))
}

func (b *boot) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", func(rw http.ResponseWriter, r *http.Request) { b.serve(rw, r, b.startRun) })
	mux.HandleFunc("POST /api/run-stop", func(rw http.ResponseWriter, r *http.Request) { b.serve(rw, r, b.stopRun) })
	mux.HandleFunc("POST /api/hold", func(rw http.ResponseWriter, r *http.Request) { b.serve(rw, r, b.hold) })
	return mux
}

func (b *boot) serve(rw http.ResponseWriter, r *http.Request, carryOut func(order) (string, map[string]any)) {
	var q order
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("Skylarklane-Expected-Instance") != b.w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.awake()
	reason, body := carryOut(q)
	b.awake()
	if body == nil {
		body = map[string]any{}
	}
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
		body["reason"] = reason
	}
	b.mu.Lock()
	body["clock_ms"] = b.clock()
	b.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (b *boot) startRun(q order) (string, map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	r := b.runs[q.Task]
	switch {
	case b.closed:
		return "late", nil
	case q.Fence < b.fence:
		return "fence", nil
	}
	b.fence = q.Fence
	switch {
	case r != nil && r.run == q.Run && r.stopsAt == 0:
		b.extend(q.Deadline)
		return "", nil
	case q.Run <= b.last[q.Task] || r != nil:
		b.extend(q.Deadline)
		return "old", nil
	case q.Deadline <= b.clock():
		return "late", nil
	}
	b.extend(q.Deadline)
	need, work := b.w.jobs.started(b, q.Task, q.Run, q.Spec)
	b.runs[q.Task] = &taskRun{run: q.Run, need: need, ends: b.steady() + work}
	if used := b.used(); !used.within(b.kind.capacity) {
		b.w.rec.breakf("LIMIT", "%s has %+v in use of %+v once %s has started", b.name, used, b.kind.capacity, q.Task)
	}
	return "", nil
}

func (b *boot) stopRun(q order) (string, map[string]any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance()
	if q.Fence < b.fence {
		return "fence", nil
	}
	b.fence = q.Fence
	b.last[q.Task] = max(b.last[q.Task], q.Run)
	if r := b.runs[q.Task]; r != nil && r.run <= q.Run && r.stopsAt == 0 {
		r.stopsAt = b.steady() + stopTime
	}
	return "", nil
}

func (b *boot) hold(q order) (string, map[string]any) {
	b.mu.Lock()
	b.advance()
	if q.Fence < b.fence {
		b.mu.Unlock()
		return "fence", nil
	}
	b.fence = q.Fence
	if q.Deadline > 0 {
		b.extend(q.Deadline)
	}
	b.ends = slices.DeleteFunc(b.ends, func(e taskEnd) bool { return e.n <= q.Cursor })
	b.mu.Unlock()
	until := time.After(time.Duration(min(q.Wait, 2000)) * time.Millisecond)
	for wait := q.Wait > 0; ; {
		b.mu.Lock()
		b.advance()
		running, ended, changed := [][]any{}, [][]any{}, b.changed
		for task, r := range b.runs {
			running = append(running, []any{task, r.run, "", 50, 100})
		}
		for _, e := range b.ends[:min(len(b.ends), listedEnds)] {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
		}
		b.mu.Unlock()
		if !wait || len(ended) > 0 {
			return "", map[string]any{"running": running, "ended_runs": ended, "born": b.born.UnixMilli()}
		}
		select {
		case <-changed:
		case <-until:
			wait = false
		}
	}
}

// report sends the status reports.
func (b *boot) report(ctx context.Context, first time.Duration) {
	next := first
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(next):
		}
		next = heartbeatMS * time.Millisecond
		b.awake()
		b.reportOnce(ctx)
	}
}

func (b *boot) reportOnce(ctx context.Context) bool {
	b.mu.Lock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	body := map[string]any{"service": b.w.service, "address": b.w.address, "zone": b.w.zone, "version": "v1", "slots": 8, "state": state,
		"cold_left_ms": 0, "capacity": b.kind.capacity, "labels": b.kind.labels, "clock_ms": b.clock(), "seq": b.sequence, "born": b.born.UnixMilli()}
	b.mu.Unlock()
	status, _ := post(ctx, "http://"+b.w.agent+"/api/Instances.Heartbeat/"+b.w.id, body, time.Second)
	b.w.rec.logf("%s reports %s, seq %d: status %d", b.name, state, b.sequence, status)
	return status/100 == 2
}

// post sends a JSON body and returns the status (0 without an answer) and the
// answer.
func post(ctx context.Context, url string, body any, timeout time.Duration) (int, []byte) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return 0, nil
	}
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

func hasLabel(labels []string, label string) bool {
	return label == "" || slices.Contains(labels, label)
}

// running returns the number of tasks at work.
func (b *boot) running() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}
