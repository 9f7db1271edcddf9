package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// gangTime is how long a member of a gang waits for the others (gang_ms).
	gangTime = 3000 * time.Millisecond
	// maxHold is the longest lease that a worker grants (hold_max_ms).
	maxHold = 1000
	// maxWait is the longest wait of a hold.
	maxWait = 2000
	// advanceInterval is how often a worker updates its runs.
	advanceInterval = 5 * time.Millisecond
	// heartbeatInterval is heartbeat_ms of the settings.
	heartbeatInterval = 1500 * time.Millisecond
)

// gangJob describes what the tasks of a job do at the workers.
type gangJob struct {
	spec  string
	cpu   int64
	work  time.Duration
	fails bool
	// members is the size of the gang, 0 if the tasks work alone.
	members int
}

// gangField is what the workers of a case share: the jobs, which members of a
// gang are present, and the record.
type gangField struct {
	mu    sync.Mutex
	jobs  map[string]gangJob
	runs  map[*gangRun]bool
	note  func(text string)
	alone []string
}

// gangRun is one run at a worker.
type gangRun struct {
	task    string
	run     uint32
	job     gangJob
	worker  *gangWorker
	started time.Time
	// worksFrom is when the run began to work: at once, or when all members of
	// its gang were present; zero before.
	worksFrom time.Time
	stopsAt   time.Time
}

// gangEnd is an end that a worker lists until it is acknowledged.
type gangEnd struct {
	number uint64
	task   string
	run    uint32
	how    string
}

// gangWorker is a worker that follows the pages of the platform, gangs included,
// and doesn't guard its capacity.
type gangWorker struct {
	id     string
	agent  string
	cpu    int64
	field  *gangField
	born   time.Time
	server *http.Server
	cancel context.CancelFunc

	address  string
	sequence int
	fence    uint64
	leaseEnd int64
	highest  map[string]uint32
	ends     []gangEnd
	number   uint64
}

func newGangWorker(id, ip, agent string, cpu int64, field *gangField) (*gangWorker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w := &gangWorker{id: id, agent: agent, cpu: cpu, field: field, born: time.Now(), cancel: cancel, address: listener.Addr().String(), highest: map[string]uint32{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", w.start)
	mux.HandleFunc("POST /api/run-stop", w.stop)
	mux.HandleFunc("POST /api/hold", w.hold)
	w.server = &http.Server{Handler: mux}
	go w.serve(listener)
	go w.loop(ctx)
	return w, nil
}

func (w *gangWorker) serve(listener net.Listener) { _ = w.server.Serve(listener) }

func (w *gangWorker) close() {
	w.cancel()
	_ = w.server.Close()
}

// clock reads the worker's clock in milliseconds.
func (w *gangWorker) clock() int64 { return time.Since(w.born).Milliseconds() }

func (w *gangWorker) loop(ctx context.Context) {
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		w.field.mu.Lock()
		w.field.advance()
		w.field.mu.Unlock()
		if time.Now().After(next) {
			next = time.Now().Add(heartbeatInterval)
			go w.report(ctx)
		}
	}
}

// report sends one status report to the agent.
func (w *gangWorker) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	w.field.mu.Lock()
	w.sequence++
	body, err := json.Marshal(map[string]any{"service": service, "address": w.address, "zone": zone, "version": "v1", "slots": 8,
		"state": "ready", "cold_left_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": 4096, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clock_ms": w.clock(), "seq": w.sequence, "born": w.born.UnixMilli()})
	w.field.mu.Unlock()
	if err != nil {
		return
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.agent+"/api/Instances.Heartbeat/"+w.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	r.Header.Set("Content-Type", "application/json")
	if response, err := http.DefaultClient.Do(r); err == nil {
		response.Body.Close()
	}
}

// order is the body of any of the agent's calls.
type order struct {
	Task     string `json:"task"`
	Run      uint32 `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Cursor   uint64 `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// read decodes an order that is meant for this worker, and answers any other.
func (w *gangWorker) read(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var q order
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.answer(rw, http.StatusBadRequest, map[string]any{})
		return q, false
	}
	if r.Header.Get("Skylarklane-Expected-Instance") != w.id {
		w.answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		return q, false
	}
	return q, true
}

func (w *gangWorker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"] = w.clock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// refuse answers with 409 and a reason, with 200 if there is none.
func (w *gangWorker) refuse(rw http.ResponseWriter, reason string) {
	if reason == "" {
		w.answer(rw, http.StatusOK, map[string]any{})
		return
	}
	w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
}

// accepts checks the fence of an order and keeps the highest.
func (w *gangWorker) accepts(q order) bool {
	if q.Fence < w.fence {
		return false
	}
	w.fence = q.Fence
	return true
}

// extend extends the lease.
func (w *gangWorker) extend(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxHold))
}

func (w *gangWorker) start(rw http.ResponseWriter, r *http.Request) {
	if q, ok := w.read(rw, r); ok {
		w.refuse(rw, w.applyStart(q))
	}
}

func (w *gangWorker) applyStart(q order) string {
	f := w.field
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	present := f.find(w, q.Task)
	switch {
	case !w.accepts(q):
		return "fence"
	case present != nil && present.run == q.Run && present.stopsAt.IsZero():
		w.extend(q.Deadline)
		return ""
	case q.Run <= w.highest[q.Task] || present != nil:
		w.extend(q.Deadline)
		return "old"
	case q.Deadline <= w.clock():
		return "late"
	}
	w.extend(q.Deadline)
	id, _, _ := strings.Cut(q.Task, ".")
	job := f.jobs[id]
	run := &gangRun{task: q.Task, run: q.Run, job: job, worker: w, started: time.Now()}
	if job.members == 0 {
		run.worksFrom = run.started
	}
	f.runs[run] = true
	f.note(fmt.Sprintf("worker %s starts %s run %d", w.id, q.Task, q.Run))
	f.advance()
	return ""
}

func (w *gangWorker) stop(rw http.ResponseWriter, r *http.Request) {
	q, ok := w.read(rw, r)
	if !ok {
		return
	}
	f := w.field
	f.mu.Lock()
	f.advance()
	reason := "fence"
	if w.accepts(q) {
		reason = ""
		w.highest[q.Task] = max(w.highest[q.Task], q.Run)
		if run := f.find(w, q.Task); run != nil && run.run <= q.Run && run.stopsAt.IsZero() {
			run.stopsAt = time.Now().Add(stopTime / 2)
		}
	}
	f.mu.Unlock()
	w.refuse(rw, reason)
}

func (w *gangWorker) hold(rw http.ResponseWriter, r *http.Request) {
	q, ok := w.read(rw, r)
	if !ok {
		return
	}
	f := w.field
	f.mu.Lock()
	f.advance()
	accepted := w.accepts(q)
	if accepted {
		if q.Deadline > 0 {
			w.extend(q.Deadline)
		}
		w.ends = slices.DeleteFunc(w.ends, func(e gangEnd) bool { return e.number <= q.Cursor })
	}
	f.mu.Unlock()
	if !accepted {
		w.refuse(rw, "fence")
		return
	}
	until := time.Now().Add(time.Duration(min(q.Wait, maxWait)) * time.Millisecond)
	for {
		running, ended := w.lists()
		if len(ended) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended_runs": ended, "born": w.born.UnixMilli()})
			return
		}
		time.Sleep(advanceInterval)
	}
}

// lists returns the rows of running and of ended runs.
func (w *gangWorker) lists() (running, ended [][]any) {
	f := w.field
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	running, ended = [][]any{}, [][]any{}
	for run := range f.runs {
		if run.worker == w {
			running = append(running, []any{run.task, run.run, "", 50, run.job.cpu})
		}
	}
	for _, e := range w.ends {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return running, ended
}

// find returns the run of a task at a worker, or nil. f.mu is held.
func (f *gangField) find(w *gangWorker, task string) *gangRun {
	for run := range f.runs {
		if run.worker == w && run.task == task {
			return run
		}
	}
	return nil
}

// gangOf returns the present runs of the run's gang: those of the same step and
// the same number.
func (f *gangField) gangOf(run *gangRun) []*gangRun {
	var all []*gangRun
	for other := range f.runs {
		if stepOf(other.task) == stepOf(run.task) && other.run == run.run {
			all = append(all, other)
		}
	}
	return all
}

// stepOf returns ID.K.STEP of a task.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// advance ends the runs that are due. f.mu is held.
func (f *gangField) advance() {
	now := time.Now()
	for run := range f.runs {
		f.advanceRun(run, now)
	}
}

func (f *gangField) advanceRun(run *gangRun, now time.Time) {
	if !f.runs[run] {
		return
	}
	switch {
	case run.worker.clock() >= run.worker.leaseEnd:
		f.end(run, "lapsed")
	case !run.stopsAt.IsZero():
		if !now.Before(run.stopsAt) {
			f.end(run, "stopped")
		}
	case run.worksFrom.IsZero():
		f.advanceWaiting(run, now)
	case now.Sub(run.worksFrom) >= run.job.work && run.job.fails:
		f.end(run, "failed")
	case now.Sub(run.worksFrom) >= run.job.work:
		f.endDone(run)
	}
}

// advanceWaiting begins the work of a gang that is complete, and ends a member
// that has waited too long.
func (f *gangField) advanceWaiting(run *gangRun, now time.Time) {
	gang := f.gangOf(run)
	if len(gang) == run.job.members {
		for _, member := range gang {
			member.worksFrom = now
		}
		return
	}
	if now.Sub(run.started) >= gangTime {
		f.alone = append(f.alone, fmt.Sprintf("%s run %d at worker %s, with %d of %d members present", run.task, run.run, run.worker.id, len(gang), run.job.members))
		f.end(run, "alone")
	}
}

// endDone ends a run that has done its work, and its gang with it.
func (f *gangField) endDone(run *gangRun) {
	members := []*gangRun{run}
	if run.job.members > 0 {
		members = f.gangOf(run)
	}
	for _, member := range members {
		f.end(member, "done")
	}
}

// end ends one run. If a member of a gang at work ends before the others, these
// are broken.
func (f *gangField) end(run *gangRun, how string) {
	if !f.runs[run] {
		return
	}
	delete(f.runs, run)
	w := run.worker
	w.highest[run.task] = max(w.highest[run.task], run.run)
	w.number++
	w.ends = append(w.ends, gangEnd{number: w.number, task: run.task, run: run.run, how: how})
	f.note("worker " + w.id + " ends " + run.task + " run " + strconv.FormatUint(uint64(run.run), 10) + ": " + how)
	if run.job.members > 0 && how != "done" && how != "broken" && !run.worksFrom.IsZero() {
		for _, member := range f.gangOf(run) {
			f.end(member, "broken")
		}
	}
}
