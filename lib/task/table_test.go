package task

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/wire"
)

var (
	agent  = &wire.Incarnation{Id: "a1", Number: 1}
	entry1 = &wire.Incarnation{Id: "e1", Number: 11}
	entry2 = &wire.Incarnation{Id: "e2", Number: 12}
)

// fakeMembers is a directory with two entries.
type fakeMembers struct {
	directory    *wire.Directory
	leaseExpired bool
}

func newFakeMembers() *fakeMembers {
	return &fakeMembers{directory: &wire.Directory{Members: []*wire.Member{
		{Incarnation: entry1, Role: wire.Role_ROLE_ENTRY}, {Incarnation: entry2, Role: wire.Role_ROLE_ENTRY},
	}}}
}

func (m *fakeMembers) Directory() *wire.Directory { return m.directory }

func (m *fakeMembers) Current() bool { return !m.leaseExpired }

func newTable() (*Table, *fakeMembers) {
	m := newFakeMembers()
	return New(agent, m, tally.NoopScope), m
}

func startRequest(coordinator *wire.Incarnation) *wire.StartRequest {
	return &wire.StartRequest{Job: "job", Coordinator: coordinator, Agent: agent}
}

func askRequest(bar bool, wait time.Duration) *wire.AskRequest {
	return &wire.AskRequest{Job: "job", Tasks: []uint32{0}, Agent: agent, Bar: bar, WaitMillis: wait.Milliseconds()}
}

func TestStartsOnce(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	var started atomic.Int64
	var group sync.WaitGroup
	for _, coordinator := range []*wire.Incarnation{entry1, entry2, entry1, entry2} {
		group.Go(func() {
			if table.Begin(startRequest(coordinator)) == nil {
				started.Add(1)
			}
		})
	}
	group.Wait()
	is.Equal(started.Load(), int64(1))
}

func TestRefusedStarts(t *testing.T) {
	tests := []struct {
		name   string
		before func(table *Table, m *fakeMembers, q *wire.StartRequest)
		reason string
	}{
		{"other incarnation", func(_ *Table, _ *fakeMembers, q *wire.StartRequest) {
			q.Agent = &wire.Incarnation{Id: "a1", Number: 2}
		}, ReasonOtherIncarnation},
		{"lease expired", func(_ *Table, m *fakeMembers, _ *wire.StartRequest) { m.leaseExpired = true }, ReasonNotCurrent},
		{"fenced", func(table *Table, _ *fakeMembers, _ *wire.StartRequest) {
			table.Fence(&wire.FenceRequest{Entry: entry1, Job: "another"})
		}, ReasonFenced},
		{"entry declared dead", func(_ *Table, m *fakeMembers, _ *wire.StartRequest) {
			m.directory = &wire.Directory{Members: m.directory.GetMembers(), Dead: []*wire.Incarnation{entry1}}
		}, ReasonUnknownCoordinator},
		{"entry not in the directory", func(_ *Table, m *fakeMembers, _ *wire.StartRequest) { m.directory = &wire.Directory{} }, ReasonUnknownCoordinator},
		{"barred", func(table *Table, _ *fakeMembers, q *wire.StartRequest) {
			table.Ask(t.Context(), askRequest(true, 0))
		}, ReasonBarred},
		{"cancelled", func(table *Table, _ *fakeMembers, _ *wire.StartRequest) {
			table.Cancel(&wire.CancelRequest{Job: "job", Tasks: []uint32{0}})
		}, ReasonBarred},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table, m := newTable()
			q := startRequest(entry1)
			test.before(table, m, q)
			reply := table.Begin(q)
			is.Equal(reply.GetState(), wire.TaskState_TASK_STATE_NOT_STARTED)
			is.Equal(reply.GetReason(), test.reason)
		})
	}
}

// TestAskWaits checks that Ask waits for a running task to end.
func TestAskWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, _ := newTable()
		is.True(table.Begin(startRequest(entry1)) == nil)
		is.Equal(table.Ask(t.Context(), askRequest(true, time.Second)).GetTasks()[0].GetState(), wire.TaskState_TASK_STATE_RUNNING)
		go func() {
			time.Sleep(time.Second)
			table.End(startRequest(entry1), &wire.StartReply{State: wire.TaskState_TASK_STATE_DONE, Result: []byte("1")})
		}()
		status := table.Ask(t.Context(), askRequest(true, time.Minute)).GetTasks()[0]
		is.Equal(status.GetState(), wire.TaskState_TASK_STATE_DONE)
		is.Equal(string(status.GetResult()), "1")
	})
}

func TestAskUnknown(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	is.Equal(len(table.Ask(t.Context(), askRequest(false, 0)).GetTasks()), 0)
	is.True(table.Begin(startRequest(entry1)) == nil) // the task was not barred
	otherAgentRequest := askRequest(true, 0)
	otherAgentRequest.Agent = &wire.Incarnation{Id: "a1", Number: 2}
	is.Equal(len(table.Ask(t.Context(), otherAgentRequest).GetTasks()), 0)
}

// TestFenceReportsTasks checks that fencing with a job reports its tasks no
// matter which entry started them.
func TestFenceReportsTasks(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	is.True(table.Begin(startRequest(entry2)) == nil)
	reply := table.Fence(&wire.FenceRequest{Entry: entry1, Job: "job"})
	is.Equal(len(reply.GetTasks()), 1)
	is.Equal(len(table.Fence(&wire.FenceRequest{Entry: entry1}).GetTasks()), 0)
	is.Equal(len(table.Fence(&wire.FenceRequest{Entry: entry2}).GetTasks()), 1)
}

// TestUnsentTaskMayRestart checks that a task that was not sent to its backend
// server may start again.
func TestUnsentTaskMayRestart(t *testing.T) {
	is := is.New(t)
	table, _ := newTable()
	is.True(table.Begin(startRequest(entry1)) == nil)
	table.End(startRequest(entry1), &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED})
	is.True(table.Begin(startRequest(entry1)) == nil)
}

func TestResultRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table, _ := newTable()
		const size = 1 << 20
		for n := range resultBudget/size + 1 {
			q := startRequest(entry1)
			q.Job = fmt.Sprint("job", n)
			is.True(table.Begin(q) == nil)
			table.End(q, &wire.StartReply{State: wire.TaskState_TASK_STATE_DONE, Result: make([]byte, size)})
		}
		oldest := askRequest(false, 0)
		oldest.Job = "job0"
		status := table.Ask(t.Context(), oldest).GetTasks()[0]
		is.Equal(status.GetState(), wire.TaskState_TASK_STATE_FAILED)
		is.Equal(status.GetReason(), ReasonResultDropped)
		is.Equal(table.resultBytes, resultBudget)
		time.Sleep(RetentionTime + time.Second)
		is.True(table.Begin(startRequest(entry1)) == nil) // evicts the expired tasks
		is.Equal(table.Len(), 1)
		is.Equal(table.resultBytes, 0)
	})
}
