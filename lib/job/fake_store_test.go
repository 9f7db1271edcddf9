package job

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

var errStore = errors.New("store did not answer")

// Settle implements wire.Runner.
func (a *fakeAgent) Settle(_ context.Context, q *wire.SettleRequest) (*wire.SettleReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetEnds(q.GetEntry().GetId(), q.GetEndsSeen())
	return &wire.SettleReply{}, nil
}

func (a *fakeAgent) forgetEnds(entry string, seen uint64) {
	a.ends[entry] = slices.DeleteFunc(a.ends[entry], func(e *wire.RunEnd) bool { return e.GetNumber() <= seen })
}

// TakeRuns implements wire.Runner.
func (a *fakeAgent) TakeRuns(_ context.Context, q *wire.TakeRunsRequest) (*wire.TakeRunsReply, error) {
	reply := &wire.TakeRunsReply{}
	a.set(func() {
		for _, job := range q.GetJobs() {
			reply.Results = append(reply.Results, a.take(q.GetEntry().GetId(), job))
		}
	})
	return reply, nil
}

func (a *fakeAgent) take(entry string, job *wire.TakenJob) *wire.TakenResult {
	for key, r := range a.runs {
		if jobID(key.task) == job.GetId() && r.epoch < job.GetEpoch() {
			a.end(key, wire.RunHow_RUN_HOW_STOPPED, time.Now())
		}
	}
	result := &wire.TakenResult{}
	for other, ends := range a.ends {
		a.ends[other] = slices.DeleteFunc(ends, func(e *wire.RunEnd) bool {
			taken := jobID(e.GetRun().GetTask()) == job.GetId() && e.GetEpoch() < job.GetEpoch()
			if taken {
				again := a.addEnd(fakeKey{entry, runKey{e.GetRun().GetTask(), e.GetRun().GetAttempt()}}, e.GetHow(), 0)
				again.Epoch = job.GetEpoch()
				result.LastEnd = again.GetNumber()
			}
			return taken
		})
	}
	return result
}

// fakeStore is an in-memory wire.JobStore. Each call takes storeTime and may
// fail.
type fakeStore struct {
	mu      sync.Mutex
	records map[string]*wire.JobRecord
	// dead holds the IDs of failed owners, whose jobs may be claimed.
	dead  map[string]bool
	notes int
	// down makes calls fail before they take effect; lost makes them fail
	// afterwards.
	down, lost bool
}

const storeTime = 20 * time.Millisecond

func newFakeStore() *fakeStore {
	return &fakeStore{records: map[string]*wire.JobRecord{}, dead: map[string]bool{}}
}

// call runs f as the effect of a call, unless the store is down.
func (s *fakeStore) call(f func()) error {
	time.Sleep(storeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errStore
	}
	f()
	if s.lost {
		return errStore
	}
	return nil
}

// set changes the store's state.
func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) state(id string) wire.JobState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records[id].GetState()
}

// Keep implements wire.JobStore.
func (s *fakeStore) Keep(_ context.Context, q *wire.KeepRequest) (*wire.KeepReply, error) {
	reply := &wire.KeepReply{Stored: true}
	return reply, s.call(func() {
		r := s.records[q.GetJob().GetId()]
		if reply.Known = r != nil; !reply.Known {
			r = &wire.JobRecord{Job: q.GetJob(), State: wire.JobState_JOB_STATE_QUEUED, Owner: q.GetOwner(), Epoch: 1}
			s.records[q.GetJob().GetId()] = r
		}
		if wire.Same(r.GetOwner(), q.GetOwner()) {
			reply.Epoch = r.GetEpoch()
		}
	})
}

// Note implements wire.JobStore.
func (s *fakeStore) Note(_ context.Context, q *wire.NoteRequest) (*wire.NoteReply, error) {
	reply := &wire.NoteReply{}
	return reply, s.call(func() {
		s.notes++
		for _, note := range q.GetNotes() {
			reply.Results = append(reply.Results, s.note(q.GetOwner(), note))
		}
	})
}

func (s *fakeStore) note(owner *wire.Incarnation, note *wire.JobNote) *wire.NoteResult {
	r := s.records[note.GetId()]
	switch {
	case r == nil || r.GetEpoch() != note.GetEpoch() || !wire.Same(r.GetOwner(), owner):
		return &wire.NoteResult{Reason: "notOwner"}
	case isFinal(r.GetState()):
		return &wire.NoteResult{Stored: true, State: r.GetState()}
	}
	r.State = max(r.GetState(), note.GetState())
	for _, task := range note.GetTasks() {
		r.Tasks = slices.DeleteFunc(r.Tasks, func(one *wire.TaskRecord) bool { return one.GetTask() == task.GetTask() })
		r.Tasks = append(r.Tasks, task)
	}
	return &wire.NoteResult{Stored: true, State: r.GetState()}
}

// CancelKept implements wire.JobStore.
func (s *fakeStore) CancelKept(_ context.Context, q *wire.CancelKeptRequest) (*wire.CancelKeptReply, error) {
	reply := &wire.CancelKeptReply{}
	return reply, s.call(func() {
		r := s.records[q.GetId()]
		if reply.Known = r != nil; !reply.Known {
			return
		}
		if !isFinal(r.GetState()) {
			r.State = wire.JobState_JOB_STATE_CANCELLED
		}
		reply.State = r.GetState()
	})
}

// ClaimJobs implements wire.JobStore.
func (s *fakeStore) ClaimJobs(_ context.Context, q *wire.ClaimJobsRequest) (*wire.ClaimJobsReply, error) {
	reply := &wire.ClaimJobsReply{}
	return reply, s.call(func() {
		held := map[string]uint64{}
		for _, one := range q.GetHeld() {
			held[one.GetId()] = one.GetEpoch()
		}
		for id, r := range s.records {
			_, has := held[id]
			own := wire.Same(r.GetOwner(), q.GetOwner())
			switch {
			case has && !own:
				reply.Lost = append(reply.Lost, id)
			case has && r.GetState() == wire.JobState_JOB_STATE_CANCELLED:
				reply.Cancelled = append(reply.Cancelled, id)
			case !has && !isFinal(r.GetState()) && (own || s.dead[r.GetOwner().GetId()]):
				if !own {
					r.Owner = q.GetOwner()
					r.Epoch++
				}
				reply.Jobs = append(reply.Jobs, proto.Clone(r).(*wire.JobRecord))
			}
		}
	})
}

// ReadJob implements wire.JobStore.
func (s *fakeStore) ReadJob(_ context.Context, q *wire.ReadJobRequest) (*wire.ReadJobReply, error) {
	reply := &wire.ReadJobReply{}
	return reply, s.call(func() {
		reply.Known, reply.State = s.records[q.GetId()] != nil, s.records[q.GetId()].GetState()
	})
}

// CountJobs implements wire.JobStore.
func (s *fakeStore) CountJobs(context.Context, *wire.CountJobsRequest) (*wire.CountJobsReply, error) {
	reply := &wire.CountJobsReply{}
	return reply, s.call(func() {
		for _, r := range s.records {
			if r.GetState() == wire.JobState_JOB_STATE_QUEUED {
				reply.Waiting++
			}
		}
	})
}

// fakeMember is the membership of an entry.
type fakeMember struct {
	id           string
	mu           sync.Mutex
	leaseExpired bool
}

func (m *fakeMember) Owner() *wire.Incarnation { return &wire.Incarnation{Id: m.id, Number: 1} }

func (m *fakeMember) Current() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.leaseExpired
}

func (m *fakeMember) setLeaseExpired(leaseExpired bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseExpired = leaseExpired
}

func (m *fakeMember) Kind(string, string) *wire.Kind { return testKind }

// startDurable runs a dispatcher with durable jobs until the test ends or the
// returned function is called.
func startDurable(t *testing.T, entry string, s *fakeStore, agents ...*fakeAgent) (*DurableManager, *fakeMember, func()) {
	n := &network{agents: map[string]*fakeAgent{}, fault: func(string, string) (time.Duration, bool) { return 0, false }}
	for _, a := range agents {
		n.agents[a.id] = a
	}
	member := &fakeMember{id: entry}
	d, stop := startDispatcher(t, entry, n)
	ctx, cancel := context.WithCancel(t.Context())
	d.mu.Lock()
	m := NewDurableManager(d, s, member)
	d.mu.Unlock()
	ended := make(chan struct{})
	go func() { m.Run(ctx); close(ended) }()
	time.Sleep(200 * time.Millisecond)
	end := func() { cancel(); stop(); <-ended }
	t.Cleanup(end)
	return m, member, end
}

// unacknowledged counts the ends that the agent still reports.
func (a *fakeAgent) unacknowledged() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, ends := range a.ends {
		n += len(ends)
	}
	return n
}
