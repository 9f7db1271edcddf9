package entry

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

const complete = wire.OutcomeKind_OUTCOME_KIND_COMPLETE

// recorder records the order in which jobs start tasks. The tasks end once
// release is closed.
type recorder struct {
	mu      sync.Mutex
	order   []string
	release chan struct{}
}

func newRecorder() *recorder { return &recorder{release: make(chan struct{})} }

func (r *recorder) run(q *wire.StartRequest) *wire.StartReply {
	r.mu.Lock()
	r.order = append(r.order, q.GetJob())
	r.mu.Unlock()
	<-r.release
	return succeed(q)
}

func (r *recorder) starts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.order)
}

// eventually waits until condition holds, and fails the test after a minute.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition did not hold within a minute")
		}
	}
}

// waitForQueuedTasks waits until n tasks are queued.
func waitForQueuedTasks(t *testing.T, d *dispatcher, n int) {
	t.Helper()
	eventually(t, func() bool {
		s := d.status().Services
		return len(s) == 1 && s[0].QueuedTasks == n
	})
}

func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	d, m := newTestDispatcher(t, startFakeAgent(t, "worker1", 1, r.run))
	m.mu.Lock()
	m.directory.Teams = []*wire.Team{{Name: "limited", MaxRunning: 1}}
	m.mu.Unlock()
	var group sync.WaitGroup
	submit := func(key, kind, team string, deadline time.Duration) {
		job := jobOf(key, kind, 1)
		job.Spec.Team = team
		job.Spec.DeadlineMillis = deadline.Milliseconds()
		group.Go(func() { is.Equal(d.Run(t.Context(), job).GetKind(), complete) })
	}
	submit("first", "finCheck", "a", time.Minute)
	eventually(t, func() bool { return len(r.starts()) == 1 })
	for n, job := range []struct {
		key, kind, team string
		deadline        time.Duration
	}{
		{"batch", "report", "a", time.Minute},
		{"late", "finCheck", "a", 3 * time.Minute},
		{"early", "finCheck", "a", 2 * time.Minute},
		{"other team", "finCheck", "b", 4 * time.Minute},
	} {
		submit(job.key, job.kind, job.team, job.deadline)
		waitForQueuedTasks(t, d, n+1)
	}
	close(r.release)
	group.Wait()
	// The usage of team b was raised to that of team a when its job arrived.
	// Teams with equal usage are ordered by name.
	is.Equal(r.starts(), []string{"first", "early", "other team", "late", "batch"})
}

func TestTeamStaysBelowItsLimit(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	d, m := newTestDispatcher(t, startFakeAgent(t, "worker1", 8, r.run))
	m.directory.Teams = []*wire.Team{{Name: "limited", MaxRunning: 2}}
	job := jobOf("job", "finCheck", 5)
	job.Spec.Team = "limited"
	var group sync.WaitGroup
	group.Go(func() { is.Equal(d.Run(t.Context(), job).GetKind(), complete) })
	waitForQueuedTasks(t, d, 3)
	eventually(t, func() bool { return len(r.starts()) == 2 })
	close(r.release)
	group.Wait()
	is.Equal(len(r.starts()), 5)
}

func TestDeadlineAndCancel(t *testing.T) {
	cases := []struct {
		name   string
		reason string
		millis int64
		cancel bool
	}{
		{"deadline", reasonDeadline, 30, false},
		{"cancel", reasonCancelled, 60000, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRecorder()
			a := startFakeAgent(t, "worker1", 1, r.run)
			d, _ := newTestDispatcher(t, a)
			job := jobOf("job", "finCheck", 3)
			job.Spec.DeadlineMillis = c.millis
			ctx, cancel := context.WithCancel(t.Context())
			if c.cancel {
				go func() {
					for len(r.starts()) == 0 {
						time.Sleep(time.Millisecond)
					}
					cancel()
				}()
			}
			outcome := d.Run(ctx, job)
			cancel()
			is.Equal(outcome.GetReason(), c.reason)
			is.Equal(len(outcome.GetResults()), 0)
			waitForQueuedTasks(t, d, 0) // no task is queued any more
			eventually(t, func() bool {
				a.mu.Lock()
				defer a.mu.Unlock()
				return len(a.cancelled) == 1 // the started task is cancelled
			})
			close(r.release)
			eventually(t, func() bool { return d.status().Services[0].TokensIdle == 1 }) // the token is idle again
		})
	}
}

func TestLostReply(t *testing.T) {
	cases := []struct {
		name   string
		state  wire.TaskState
		kind   wire.OutcomeKind
		starts int
	}{
		{"not started", wire.TaskState_TASK_STATE_NOT_STARTED, complete, 2},
		{"not started, no other worker", wire.TaskState_TASK_STATE_NOT_STARTED, wire.OutcomeKind_OUTCOME_KIND_FAILED, 1},
		{"done", wire.TaskState_TASK_STATE_DONE, complete, 1},
		{"failed", wire.TaskState_TASK_STATE_FAILED, wire.OutcomeKind_OUTCOME_KIND_FAILED, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var starts, asks atomic.Int64
			a := startFakeAgent(t, "worker1", 2, func(q *wire.StartRequest) *wire.StartReply {
				if starts.Add(1) == 1 {
					return nil // the connection breaks
				}
				return succeed(q)
			})
			a.ask = func(q *wire.AskRequest) *wire.AskReply {
				is.True(q.GetBar())
				if asks.Add(1) == 1 {
					return &wire.AskReply{Tasks: []*wire.TaskStatus{{State: wire.TaskState_TASK_STATE_RUNNING}}}
				}
				return &wire.AskReply{Tasks: []*wire.TaskStatus{{State: c.state, Result: []byte("1"), Reason: "barred"}}}
			}
			agents := []*fakeAgent{a}
			if c.name == "not started" {
				agents = append([]*fakeAgent{startFakeAgent(t, "worker2", 1, func(q *wire.StartRequest) *wire.StartReply {
					starts.Add(1)
					return succeed(q)
				})}, a)
			}
			d, _ := newTestDispatcher(t, agents...)
			is.Equal(d.Run(t.Context(), jobOf("job", "finCheck", 1)).GetKind(), c.kind)
			is.Equal(int(starts.Load()), c.starts)
		})
	}
}

func TestAgentLeavesDirectory(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	a := startFakeAgent(t, "worker1", 1, r.run)
	d, m := newTestDispatcher(t, a)
	var group sync.WaitGroup
	group.Go(func() { is.Equal(d.Run(t.Context(), jobOf("job", "finCheck", 2)).GetReason(), reasonLost) })
	eventually(t, func() bool { return len(r.starts()) == 1 })
	m.set([]*wire.Member{m.self}, sizingService())
	d.mu.Lock()
	d.syncDirectory()
	d.mu.Unlock()
	group.Wait()
	is.Equal(d.status().Services[0].TokensHeld, 0)
	close(r.release)
}

func TestRetryElsewhereAfterRefusedDial(t *testing.T) {
	is := is.New(t)
	dead := httptest.NewServer(nil)
	gone := startFakeAgent(t, "worker1", 1, succeed)
	gone.member.Address = dead.Listener.Addr().String()
	dead.Close()
	d, _ := newTestDispatcher(t, gone, startFakeAgent(t, "worker2", 1, succeed))
	is.Equal(d.Run(t.Context(), jobOf("job", "finCheck", 4)).GetKind(), complete)
}

func TestRetryElsewhereAfterVoidToken(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t, "worker1", 4, succeed)
	d, _ := newTestDispatcher(t, a, startFakeAgent(t, "worker2", 1, succeed))
	a.slotPool.Close("worker1/server")
	is.Equal(d.Run(t.Context(), jobOf("job", "finCheck", 20)).GetKind(), complete)
}

// TestFailingServerIsEjected guards against further tasks for a backend server
// that fails every task.
func TestFailingServerIsEjected(t *testing.T) {
	is := is.New(t)
	bad := startFakeAgent(t, "bad", 4, func(*wire.StartRequest) *wire.StartReply {
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_FAILED, Reason: reasonFailed}
	})
	d, _ := newTestDispatcher(t, bad, startFakeAgent(t, "good", 4, succeed))
	failed := 0
	for n := range 100 {
		if d.Run(t.Context(), jobOf(fmt.Sprint("job", n), "finCheck", 8)).GetKind() != complete {
			failed++
		}
	}
	is.True(failed >= 1)
	is.True(failed < 10) // two jobs fail before the ejection, and trials are rare
}

func TestRecoveredTasksDoNotStart(t *testing.T) {
	is := is.New(t)
	r := newRecorder()
	close(r.release)
	d, _ := newTestDispatcher(t, startFakeAgent(t, "worker1", 2, r.run))
	job := jobOf("job", "finCheck", 3)
	job.Recovered = []*wire.TaskStatus{
		{Task: 0, State: wire.TaskState_TASK_STATE_DONE, Result: []byte("kept")},
		{Task: 1, State: wire.TaskState_TASK_STATE_NOT_STARTED},
	}
	outcome := d.Run(t.Context(), job)
	is.Equal(outcome.GetKind(), complete)
	is.Equal(string(outcome.GetResults()[0]), "kept")
	is.Equal(len(r.starts()), 2)
	job.Recovered[1].State = wire.TaskState_TASK_STATE_FAILED
	is.Equal(d.Run(t.Context(), job).GetKind(), wire.OutcomeKind_OUTCOME_KIND_FAILED)
	is.Equal(len(r.starts()), 2)
}

// TestTokenKeptAfterTransientRefusal guards against the loss of a token when its
// agent refuses a start because the agent has no lease.
func TestTokenKeptAfterTransientRefusal(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t, "worker1", 1, succeed)
	d, _ := newTestDispatcher(t, a)
	renewer := &leaseRenewer{d: d}
	go renewer.loop(t.Context())
	a.refusals.Store(2)
	is.Equal(d.Run(t.Context(), jobOf("job", "finCheck", 1)).GetKind(), complete)
	is.Equal(d.status().Services[0].TokensIdle, 1)
}

func TestUnconfiguredIdleTeamsAreRemoved(t *testing.T) {
	is := is.New(t)
	d, m := newTestDispatcher(t, startFakeAgent(t, "worker1", 1, succeed))
	m.directory.Teams = []*wire.Team{{Name: "suva"}}
	for _, name := range []string{"suva", "unconfigured"} {
		job := jobOf("job", "finCheck", 1)
		job.Spec.Team = name
		is.Equal(d.Run(t.Context(), job).GetKind(), complete)
	}
	renewer := &leaseRenewer{d: d}
	renewer.dueClaims(time.Now())
	teams := d.status().Teams
	is.Equal(len(teams), 1)
	is.Equal(teams[0].Team, "suva")
}
