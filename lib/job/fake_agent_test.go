package job

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/clock"
	"skylarklane.example/lib/wire"
)

// network carries a dispatcher's calls to fake agents, with a latency of 1 ms
// each way.
type network struct {
	agents map[string]*fakeAgent
	// fault returns how long a request is delayed, and whether its reply is
	// lost. The caller of a delayed request has timed out when it arrives.
	fault func(agent, method string) (delayed time.Duration, lost bool)
	// unlisted is the agent that the directory does not list; empty for none.
	unlisted atomic.Value
	// relisted holds, by id, the agents that are listed in another way than at first.
	relisted sync.Map
	// skipped is by how many nanoseconds the clocks of the dispatchers have
	// skipped ahead, as they do while their process is suspended.
	skipped atomic.Int64
	// evacuated holds the data centres that are evacuated by the directory.
	evacuated sync.Map
	// hasPriorities is set if the kinds of the service have several priorities.
	hasPriorities bool
}

// evacuate begins the evacuation of data centres, and finish ends it. The agents
// do not learn of it.
func (n *network) evacuate(dataCentres ...string) {
	for _, name := range dataCentres {
		n.evacuated.Store(name, true)
	}
}

func (n *network) finish(dataCentres ...string) {
	for _, name := range dataCentres {
		n.evacuated.Delete(name)
	}
}

func (n *network) isEvacuated(dataCentre string) bool {
	_, evacuated := n.evacuated.Load(dataCentre)
	return evacuated
}

// listed returns the members that the directory lists.
func (n *network) listed(members []*wire.Member) []*wire.Member {
	listed := slices.DeleteFunc(slices.Clone(members), func(m *wire.Member) bool { return m.GetIncarnation().GetId() == n.unlisted.Load() })
	for i, m := range listed {
		if other, found := n.relisted.Load(m.GetIncarnation().GetId()); found {
			listed[i] = other.(*wire.Member)
		}
	}
	return listed
}

// RoundTrip implements http.RoundTripper.
func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	a := n.agents[r.URL.Host]
	time.Sleep(time.Millisecond)
	method := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	delayed, lost := n.fault(r.URL.Host, method)
	if a.isBlocked("to " + method) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if delayed > 0 {
		time.Sleep(delayed)
		r, lost = r.WithContext(context.Background()), true
	}
	w := httptest.NewRecorder()
	wire.NewRunnerServer(a).ServeHTTP(w, r)
	if delayed > 0 {
		return nil, context.DeadlineExceeded
	}
	if lost || a.isBlocked("from "+method) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(time.Millisecond)
	return w.Result(), nil
}

// fakeKey identifies a run at a fake agent, by entry, task and attempt.
type fakeKey struct {
	entry string
	runKey
}

// fakeRun is a run at a fake agent.
type fakeRun struct {
	need  capacity.Vector
	epoch uint64
	began time.Time
	// timer ends the run; nil while its job is claimed.
	timer *time.Timer
}

// fakeWaiter is a run that waits for capacity at a fake agent.
type fakeWaiter struct {
	key   fakeKey
	q     *wire.LaunchRequest
	t     *wire.LaunchTask
	timer *time.Timer
}

// span is the period in which a run existed that has ended.
type span struct {
	task     string
	from, to time.Time
}

// behaviour returns how long a run takes and how it ends.
type behaviour func(task string, attempt uint32) (time.Duration, wire.RunHow)

// fakeAgent is an agent with one worker.
type fakeAgent struct {
	id         string
	dataCentre string
	clockStart time.Time
	behave     behaviour
	// claim claims a job for an entry; nil if every claim is granted.
	claim func(ctx context.Context, id string, by *wire.Member) bool

	mu          sync.Mutex
	number      uint64
	total, free capacity.Vector
	accepting   bool
	// reason is why the agent refuses launches; speed is the worker's speed as it
	// is reported, in thousandths of a logarithm.
	reason   string
	speed    int32
	labels   []string
	cleared  bool
	version  uint64
	watches  int
	sessions map[string]time.Time
	runs     map[fakeKey]*fakeRun
	barred   map[fakeKey]bool
	// queue holds the runs that wait for capacity, the oldest first.
	queue         []*fakeWaiter
	queuedRuns    int
	ends          map[string][]*wire.RunEnd
	lastEndNumber uint64
	blockedCalls  []string
	changed       chan struct{}
	// orphans are runs of earlier incarnations.
	orphans map[fakeKey]*fakeRun
	// launched lists the accepted runs, spans the periods of those that have
	// ended.
	launched []runKey
	spans    []span
	// refused counts the launches refused for room.
	refused int
}

func newFakeAgent(id string, millis int64, behave behaviour) *fakeAgent {
	v := capacity.Vector{CPUMillis: millis, MemoryMB: 1000}
	a := &fakeAgent{id: id, clockStart: time.Now(), behave: behave, number: 1 << 40, total: v, accepting: true, cleared: true,
		changed: make(chan struct{}), orphans: map[fakeKey]*fakeRun{}}
	a.reset()
	return a
}

// reset initialises the state of a new incarnation.
func (a *fakeAgent) reset() {
	a.free, a.version, a.lastEndNumber = a.total, 1, 0
	a.sessions = map[string]time.Time{}
	a.runs = map[fakeKey]*fakeRun{}
	a.barred = map[fakeKey]bool{}
	for _, w := range a.queue {
		w.timer.Stop()
	}
	a.queue = nil
	a.ends = map[string][]*wire.RunEnd{}
}

// doneAfter returns the behaviour that every run is done after d.
func doneAfter(d time.Duration) behaviour {
	return func(string, uint32) (time.Duration, wire.RunHow) { return d, wire.RunHow_RUN_HOW_DONE }
}

func alwaysFails(string, uint32) (time.Duration, wire.RunHow) {
	return 10 * time.Millisecond, wire.RunHow_RUN_HOW_FAILED
}

func (a *fakeAgent) millis(t time.Time) int64 { return t.Sub(a.clockStart).Milliseconds() }

func (a *fakeAgent) isBlocked(what string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Contains(a.blockedCalls, what)
}

// block sets which calls are blocked, by direction and method, such as "to
// Halt" for requests and "from Halt" for replies.
func (a *fakeAgent) block(what ...string) { a.set(func() { a.blockedCalls = what }) }

// set changes the agent and wakes its watchers.
func (a *fakeAgent) set(change func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireSessions()
	change()
	a.version++
	close(a.changed)
	a.changed = make(chan struct{})
}

// restart starts a new incarnation that accepts no runs. After clearAfter it
// reports that its predecessor's runs have ended.
func (a *fakeAgent) restart(clearAfter time.Duration) {
	a.set(func() {
		a.number-- // numbers are random, so a later one may be lower
		for key, r := range a.runs {
			if r.timer != nil {
				r.timer.Stop()
				a.orphans[key] = r
			}
		}
		a.reset()
		a.cleared, a.accepting = false, false
	})
	time.AfterFunc(clearAfter, func() {
		a.set(func() {
			for key, r := range a.orphans {
				a.spans = append(a.spans, span{key.task, r.began, time.Now()})
				delete(a.orphans, key)
			}
			a.cleared = true
		})
	})
}

// Watch implements wire.Runner.
func (a *fakeAgent) Watch(ctx context.Context, q *wire.WatchRequest) (*wire.WatchReply, error) {
	a.mu.Lock()
	a.watches++
	a.expireSessions()
	entry, now := q.GetEntry().GetId(), time.Now()
	known := q.GetAgent().GetNumber() == a.number
	until := now.Add(wire.SessionLength)
	if _, open := a.sessions[entry]; !open && q.GetAgent() != nil {
		a.sessions[entry] = until
	} else if known && q.GetRenewUntilMillis() > 0 {
		asked := a.clockStart.Add(time.Duration(q.GetRenewUntilMillis()) * time.Millisecond)
		a.sessions[entry] = latest(a.sessions[entry], earliest(until, asked))
	}
	a.ends[entry] = slices.DeleteFunc(a.ends[entry], func(e *wire.RunEnd) bool { return known && e.GetNumber() <= q.GetEndsSeen() })
	a.mu.Unlock()
	a.awaitNews(ctx, q)
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wire.WatchReply{Agent: &wire.Incarnation{Id: a.id, Number: a.number}, ClockMillis: a.millis(time.Now()),
		SessionUntilMillis: a.millis(a.sessions[entry]), Worker: a.state(), Ends: a.unreportedEnds(entry, q)}, nil
}

// awaitNews waits until the entry of a Watch lacks an end or the state of the worker; the
// latter counts once the delay that the Watch names is over.
func (a *fakeAgent) awaitNews(ctx context.Context, q *wire.WatchRequest) {
	wait := time.Duration(q.GetWaitMillis()) * time.Millisecond
	over := time.NewTimer(wait)
	defer over.Stop()
	var delayOver <-chan time.Time
	if q.GetStateAfterMillis() > 0 {
		delay := time.NewTimer(min(time.Duration(q.GetStateAfterMillis())*time.Millisecond, wait))
		defer delay.Stop()
		delayOver = delay.C
	}
	for {
		a.mu.Lock()
		changed, isNew := a.changed, a.version != q.GetVersionSeen()
		hasEnds := len(a.unreportedEnds(q.GetEntry().GetId(), q)) > 0
		a.mu.Unlock()
		if hasEnds || isNew && delayOver == nil {
			return
		}
		select {
		case <-changed:
		case <-delayOver:
			delayOver = nil
		case <-over.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// unreportedEnds returns the ends that the entry has not been told.
func (a *fakeAgent) unreportedEnds(entry string, q *wire.WatchRequest) []*wire.RunEnd {
	return slices.DeleteFunc(slices.Clone(a.ends[entry]), func(e *wire.RunEnd) bool {
		return q.GetAgent().GetNumber() == a.number && e.GetNumber() <= q.GetEndsTold()
	})
}

// expireSessions ends the runs of expired sessions.
func (a *fakeAgent) expireSessions() {
	for entry, until := range a.sessions {
		if time.Now().Before(until) {
			continue
		}
		delete(a.sessions, entry)
		for _, w := range slices.Clone(a.queue) {
			if w.key.entry == entry {
				a.endWait(w.key)
			}
		}
		for key := range a.runs {
			if key.entry == entry {
				a.end(key, wire.RunHow_RUN_HOW_LOST, until)
			}
		}
	}
}

func (a *fakeAgent) state() *wire.WorkerState {
	state := &wire.WorkerState{Version: a.version, Id: a.id + "-life", Service: "sizing", Capacity: a.total.ToWire(), Free: a.free.ToWire(),
		Accepting: a.accepting, Reason: a.reason, Cleared: a.cleared, Labels: a.labels, Speed: a.speed, TimedRuns: timedRuns(a.speed)}
	for _, w := range a.queue {
		state.Waiting = append(state.Waiting, &wire.WaitingRuns{Priority: w.q.GetPriority(), Runs: 1, CpuMillis: w.t.GetNeed().GetCpuMillis()})
	}
	return state
}

// timedRuns returns on how many runs a reported speed is based.
func timedRuns(speed int32) uint32 {
	if speed == 0 {
		return 0
	}
	return 1000
}

// Launch implements wire.Runner.
func (a *fakeAgent) Launch(_ context.Context, q *wire.LaunchRequest) (*wire.LaunchReply, error) {
	reply := &wire.LaunchReply{}
	a.set(func() {
		for _, t := range q.GetTasks() {
			reason := a.start(q, t)
			queued := slices.ContainsFunc(a.queue, func(w *fakeWaiter) bool { return w.t == t })
			reply.Results = append(reply.Results, &wire.LaunchResult{Accepted: reason == "", Reason: reason, Queued: queued})
		}
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Worker = a.state()
	return reply, nil
}

func (a *fakeAgent) start(q *wire.LaunchRequest, t *wire.LaunchTask) string {
	key, need := fakeKey{q.GetEntry().GetId(), runKey{t.GetRun().GetTask(), t.GetRun().GetAttempt()}}, capacity.FromWire(t.GetNeed())
	_, open := a.sessions[key.entry]
	switch {
	case a.runs[key] != nil || slices.ContainsFunc(a.queue, func(w *fakeWaiter) bool { return w.key == key }):
		return ""
	case a.barred[key]:
		return "barred"
	case q.GetAgent().GetNumber() != a.number || !open || a.millis(time.Now()) > q.GetNotAfterMillis():
		return "late"
	case !a.accepting && a.reason != "":
		return a.reason
	case !a.accepting:
		return "draining"
	case t.GetWaitMillis() > 0 && (!need.Fits(a.free) || len(a.queue) > 0):
		a.enqueue(key, q, t)
		return ""
	case !need.Fits(a.free):
		a.refused++
		return "room"
	}
	a.begin(key, q, need)
	return ""
}

// enqueue lets a run wait for capacity.
func (a *fakeAgent) enqueue(key fakeKey, q *wire.LaunchRequest, t *wire.LaunchTask) {
	a.queuedRuns++
	a.queue = append(a.queue, &fakeWaiter{key, q, t, time.AfterFunc(time.Duration(t.GetWaitMillis())*time.Millisecond, func() {
		a.set(func() { a.endWait(key) })
	})})
}

// endWait ends a waiting run as not started, and reports whether there was one.
func (a *fakeAgent) endWait(key fakeKey) bool {
	i := slices.IndexFunc(a.queue, func(w *fakeWaiter) bool { return w.key == key })
	if i < 0 {
		return false
	}
	a.queue[i].timer.Stop()
	a.queue = slices.Delete(a.queue, i, i+1)
	a.barred[key] = true
	a.addEnd(key, wire.RunHow_RUN_HOW_NOT_STARTED, 0)
	return true
}

// serveQueue starts the oldest waiting runs that fit.
func (a *fakeAgent) serveQueue() {
	for len(a.queue) > 0 && a.accepting && capacity.FromWire(a.queue[0].t.GetNeed()).Fits(a.free) {
		w := a.queue[0]
		a.queue = a.queue[1:]
		w.timer.Stop()
		a.begin(w.key, w.q, capacity.FromWire(w.t.GetNeed()))
	}
}

// begin begins a run, once its job is claimed.
func (a *fakeAgent) begin(key fakeKey, q *wire.LaunchRequest, need capacity.Vector) {
	a.free = a.free.Minus(need)
	r := &fakeRun{need: need, epoch: q.GetEpoch()}
	a.runs[key] = r
	if q.GetClaimant() == nil || a.claim == nil {
		a.run(key, r)
		return
	}
	go a.claimAndRun(key, r, q.GetClaimant())
}

func (a *fakeAgent) claimAndRun(key fakeKey, r *fakeRun, claimant *wire.Member) {
	job, _, _ := strings.Cut(key.task, ".")
	granted := a.claim(context.Background(), job, claimant)
	a.set(func() {
		switch {
		case a.runs[key] != r:
		case granted:
			a.run(key, r)
		default:
			a.end(key, wire.RunHow_RUN_HOW_NOT_STARTED, time.Now())
			ends := a.ends[key.entry]
			ends[len(ends)-1].Reason = wire.ReasonClaimed
		}
	})
}

// run runs a task.
func (a *fakeAgent) run(key fakeKey, r *fakeRun) {
	after, how := a.behave(key.task, key.attempt)
	a.launched = append(a.launched, key.runKey)
	r.began = time.Now()
	r.timer = time.AfterFunc(after, func() {
		a.set(func() { a.end(key, how, time.Now()) })
	})
}

// end ends a run and lists its end.
func (a *fakeAgent) end(key fakeKey, how wire.RunHow, at time.Time) {
	r := a.runs[key]
	if r == nil {
		return
	}
	delete(a.runs, key)
	a.barred[key] = true
	a.free = a.free.Plus(r.need)
	if r.timer == nil {
		a.addEnd(key, wire.RunHow_RUN_HOW_NOT_STARTED, 0)
		a.serveQueue()
		return
	}
	r.timer.Stop()
	a.spans = append(a.spans, span{key.task, r.began, at})
	a.addEnd(key, how, at.Sub(r.began)).Epoch = r.epoch
	a.serveQueue()
}

func (a *fakeAgent) addEnd(key fakeKey, how wire.RunHow, ran time.Duration) *wire.RunEnd {
	a.lastEndNumber++
	end := &wire.RunEnd{Number: a.lastEndNumber, Run: &wire.RunId{Task: key.task, Attempt: key.attempt}, How: how, RunMillis: ran.Milliseconds()}
	a.ends[key.entry] = append(a.ends[key.entry], end)
	return end
}

// Halt implements wire.Runner.
func (a *fakeAgent) Halt(_ context.Context, q *wire.HaltRequest) (*wire.HaltReply, error) {
	a.set(func() {
		for _, id := range q.GetRuns() {
			key := fakeKey{q.GetEntry().GetId(), runKey{id.GetTask(), id.GetAttempt()}}
			if a.runs[key] != nil {
				a.end(key, wire.RunHow_RUN_HOW_STOPPED, time.Now())
			} else if a.endWait(key) {
				continue
			} else if !a.barred[key] {
				a.barred[key] = true
				a.addEnd(key, wire.RunHow_RUN_HOW_NOT_STARTED, 0)
			}
		}
	})
	return &wire.HaltReply{}, nil
}

// started returns how many runs the agent has accepted, live how many of them
// have not ended.
func (a *fakeAgent) started() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.launched)
}

func (a *fakeAgent) live() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireSessions()
	return len(a.runs)
}

// newTestDispatcher returns a running dispatcher for the agents, once they
// have answered.
func newTestDispatcher(t *testing.T, agents ...*fakeAgent) *Dispatcher {
	t.Helper()
	d, _ := newTestNetwork(t, false, agents...)
	return d
}

// newWaitingDispatcher is newTestDispatcher for a service with one priority, or
// several.
func newWaitingDispatcher(t *testing.T, hasPriorities bool, agents ...*fakeAgent) *Dispatcher {
	t.Helper()
	d, _ := newTestNetwork(t, hasPriorities, agents...)
	return d
}

// newTestNetwork is newWaitingDispatcher that also returns the network.
func newTestNetwork(t *testing.T, hasPriorities bool, agents ...*fakeAgent) (*Dispatcher, *network) {
	t.Helper()
	n := &network{hasPriorities: hasPriorities, agents: map[string]*fakeAgent{}, fault: func(string, string) (time.Duration, bool) { return 0, false }}
	for _, a := range agents {
		n.agents[a.id] = a
	}
	d, _ := startDispatcher(t, "entry", n)
	time.Sleep(100 * time.Millisecond)
	return d, n
}

// startDispatcher runs a dispatcher until the test ends or the returned
// function is called.
func startDispatcher(t *testing.T, entry string, n *network) (*Dispatcher, func()) {
	return startDispatcherWith(t, Config{}, entry, n)
}

// startDispatcherWith is startDispatcher with a configuration.
func startDispatcherWith(t *testing.T, cfg Config, entry string, n *network) (*Dispatcher, func()) {
	var members []*wire.Member
	for id, a := range n.agents {
		members = append(members, &wire.Member{Incarnation: &wire.Incarnation{Id: id, Number: 1}, Role: wire.Role_ROLE_AGENT, Address: id, DataCentre: a.dataCentre})
	}
	log := slog.New(slog.DiscardHandler)
	if os.Getenv("JOB_TEST_LOG") != "" {
		log = slog.New(slog.NewTextHandler(os.Stderr, nil)).With("entry", entry)
	}
	clockStart := time.Now()
	cfg.IsEvacuated = n.isEvacuated
	cfg.HasPriorities = func(string) bool { return n.hasPriorities }
	d := New(cfg, &wire.Incarnation{Id: entry, Number: 1}, func() []*wire.Member { return n.listed(members) },
		&http.Client{Transport: n}, clock.Func(func() time.Duration { return time.Hour + time.Since(clockStart) + time.Duration(n.skipped.Load()) }), log, tally.NoopScope)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	stop := func() { cancel(); <-ended }
	t.Cleanup(stop)
	return d, stop
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
