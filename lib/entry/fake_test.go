package entry

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/uber-go/tally/v4"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/process"
	"skylarklane.example/lib/slot"
	"skylarklane.example/lib/wire"
)

// fakeMembers implements members with a directory that the test sets.
type fakeMembers struct {
	self *wire.Member

	mu        sync.Mutex
	directory *wire.Directory
	changed   chan struct{}
}

func newFakeMembers(id string) *fakeMembers {
	self := &wire.Member{Incarnation: &wire.Incarnation{Id: id, Number: 1}, Role: wire.Role_ROLE_ENTRY}
	return &fakeMembers{self: self, directory: &wire.Directory{}, changed: make(chan struct{})}
}

func (m *fakeMembers) Member() *wire.Member { return m.self }

func (m *fakeMembers) Directory() *wire.Directory {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.directory
}

func (m *fakeMembers) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// set replaces the directory by one with these members and services.
func (m *fakeMembers) set(all []*wire.Member, services ...*wire.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.directory = &wire.Directory{Version: m.directory.GetVersion() + 1, Members: all, Services: services}
	close(m.changed)
	m.changed = make(chan struct{})
}

// fakeAgent is an agent that runs a task by calling run; nil as the reply breaks
// the connection.
type fakeAgent struct {
	wire.Agent
	member   *wire.Member
	slotPool *slot.Pool
	run      func(q *wire.StartRequest) *wire.StartReply
	ask      func(q *wire.AskRequest) *wire.AskReply
	// refusals is the number of starts still to be refused for lack of a lease.
	refusals atomic.Int64

	mu        sync.Mutex
	cancelled []*wire.CancelRequest
}

// startFakeAgent serves a fake agent with slots for the service "sizing".
func startFakeAgent(t testing.TB, id string, slots int, run func(q *wire.StartRequest) *wire.StartReply) *fakeAgent {
	a := &fakeAgent{run: run}
	server := httptest.NewServer(wire.NewAgentServer(a))
	t.Cleanup(server.Close)
	incarnation := &wire.Incarnation{Id: id, Number: 1}
	a.member = &wire.Member{Incarnation: incarnation, Role: wire.Role_ROLE_AGENT, Address: server.Listener.Addr().String()}
	a.slotPool = slot.New(incarnation)
	a.slotPool.Open(id+"/server", "sizing", slots)
	return a
}

func (a *fakeAgent) Start(_ context.Context, q *wire.StartRequest) (*wire.StartReply, error) {
	if a.refusals.Add(-1) >= 0 {
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: "noLease"}, nil
	}
	if _, ok := a.slotPool.Use(q.GetCoordinator(), q.GetToken()); !ok {
		return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: "voidToken"}, nil
	}
	reply := a.run(q)
	token := a.slotPool.Return(q.GetCoordinator(), q.GetToken())
	if reply == nil {
		panic(http.ErrAbortHandler)
	}
	reply.Token = token
	return reply, nil
}

func (a *fakeAgent) Claim(_ context.Context, q *wire.ClaimRequest) (*wire.ClaimReply, error) {
	return a.slotPool.Claim(q), nil
}

func (a *fakeAgent) Ask(_ context.Context, q *wire.AskRequest) (*wire.AskReply, error) {
	return a.ask(q), nil
}

func (a *fakeAgent) Cancel(_ context.Context, q *wire.CancelRequest) (*wire.CancelReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = append(a.cancelled, q)
	return &wire.CancelReply{}, nil
}

// offerAll offers tokens for all free slots of an agent to a dispatcher.
func offerAll(d *dispatcher, a *fakeAgent, sequence uint64) {
	tokens := a.slotPool.Split([]*wire.Incarnation{d.self})[d.self]
	d.offer(&wire.OfferRequest{
		Agent: a.member.GetIncarnation(), Entry: d.self, Tokens: tokens,
		Capacities: a.slotPool.Capacities(), Sequence: sequence,
	})
}

// succeed is the reply to a successful task.
func succeed(*wire.StartRequest) *wire.StartReply {
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_DONE, Result: []byte("1"), RunMicros: 10}
}

func sizingService() *wire.Service {
	return &wire.Service{Name: "sizing", Kinds: []*wire.Kind{
		{Name: "finCheck", Urgency: wire.Urgency_URGENCY_URGENT, ExpectedRunMillis: 50, DeadlineMillis: 60000},
		{Name: "report", Urgency: wire.Urgency_URGENCY_BATCH, ExpectedRunMillis: 50, DeadlineMillis: 60000},
	}}
}

// newTestDispatcher returns a dispatcher that holds tokens for all slots of the
// agents.
func newTestDispatcher(t testing.TB, agents ...*fakeAgent) (*dispatcher, *fakeMembers) {
	m := newFakeMembers("entry1")
	all := []*wire.Member{m.self}
	for _, a := range agents {
		all = append(all, a.member)
	}
	m.set(all, sizingService())
	d := newDispatcher(m, process.NewClient(), placement.Tokens{}, slog.New(slog.DiscardHandler), tally.NoopScope)
	for _, a := range agents {
		offerAll(d, a, 1)
	}
	t.Cleanup(d.work.Wait)
	return d, m
}

// jobOf returns a job of n tasks.
func jobOf(key, kind string, n int) Job {
	spec := &wire.JobSpec{Service: "sizing", Kind: kind}
	for i := range n {
		spec.Payloads = append(spec.Payloads, fmt.Appendf(nil, "%d", i))
	}
	return Job{Key: key, Spec: spec}
}
