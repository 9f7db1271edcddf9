package store

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"skylarklane.example/lib/wire"
)

// history records the replies that the entries of a test received, and
// violations of the store's guarantees.
type history struct {
	mu sync.Mutex
	// states holds the latest acknowledged state of each job.
	states map[string]wire.JobState
	// owners holds the owner of each job and epoch.
	owners     map[string]string
	violations []string
}

// addOwner records that a job was assigned to an entry.
func (h *history) addOwner(id string, epoch uint64, who string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := fmt.Sprint(id, ".", epoch)
	if other := h.owners[key]; other != "" && other != who {
		h.violations = append(h.violations, fmt.Sprintf("%s is owned by %s and by %s", key, other, who))
	}
	h.owners[key] = who
}

// acked records a state that a reply returned or acknowledged.
func (h *history) acked(id string, state wire.JobState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if before := h.states[id]; state < before || isTerminal(before) && state != before {
		h.violations = append(h.violations, fmt.Sprintf("%s was %v and is %v", id, before, state))
	}
	h.states[id] = state
}

// testEntry is an entry that stores jobs, updates their state, cancels them and
// claims those of dead entries.
type testEntry struct {
	*Client
	owner  *wire.Incarnation
	acked  *history
	random *rand.Rand
	held   map[string]uint64
	done   chan struct{}
}

func (e *testEntry) run(ctx context.Context) {
	defer close(e.done)
	for n := 0; ctx.Err() == nil; n++ {
		switch e.random.IntN(6) {
		case 0, 1:
			e.keep(ctx, fmt.Sprintf("%s-%d", e.owner.GetId(), n))
		case 2:
			e.claim(ctx)
		case 3:
			e.cancel(ctx)
		default:
			e.note(ctx)
		}
		time.Sleep(time.Duration(e.random.IntN(100)) * time.Millisecond)
	}
}

// pickJob returns a random job that the entry holds. The jobs are sorted first,
// so that the choice depends only on the seed.
func (e *testEntry) pickJob() string {
	var ids []string
	for id := range e.held {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return ""
	}
	slices.Sort(ids)
	return ids[e.random.IntN(len(ids))]
}

func (e *testEntry) keep(ctx context.Context, id string) {
	reply, err := e.Keep(ctx, &wire.KeepRequest{Owner: e.owner, Job: job(id, id)})
	if err != nil || !reply.GetStored() {
		return
	}
	e.acked.acked(id, queued)
	if reply.GetEpoch() > 0 {
		e.acked.addOwner(id, reply.GetEpoch(), e.owner.GetId())
		e.held[id] = reply.GetEpoch()
	}
}

func (e *testEntry) note(ctx context.Context) {
	id := e.pickJob()
	if id == "" {
		return
	}
	state := []wire.JobState{queued, running, running, completed, failed}[e.random.IntN(5)]
	n := &wire.JobNote{Id: id, Epoch: e.held[id], State: state, Tasks: []*wire.TaskRecord{{Task: id + ".0.0.0", Attempt: e.random.Uint32N(9)}}}
	reply, err := e.Note(ctx, &wire.NoteRequest{Owner: e.owner, Notes: []*wire.JobNote{n}})
	if err != nil {
		return
	}
	result := reply.GetResults()[0]
	if result.GetStored() {
		e.acked.acked(id, result.GetState())
	}
	if !result.GetStored() || isTerminal(result.GetState()) {
		delete(e.held, id)
	}
}

func (e *testEntry) cancel(ctx context.Context) {
	id := e.pickJob()
	reply, err := e.CancelKept(ctx, &wire.CancelKeptRequest{Id: id})
	if err == nil && reply.GetKnown() {
		e.acked.acked(id, reply.GetState())
	}
}

func (e *testEntry) claim(ctx context.Context) {
	q := &wire.ClaimJobsRequest{Owner: e.owner, Limit: 3}
	for id, epoch := range e.held {
		q.Held = append(q.Held, &wire.HeldJob{Id: id, Epoch: epoch})
	}
	reply, err := e.ClaimJobs(ctx, q)
	if err != nil {
		return
	}
	for _, id := range slices.Concat(reply.GetLost(), reply.GetCancelled()) {
		delete(e.held, id)
	}
	for _, r := range reply.GetJobs() {
		e.acked.addOwner(r.GetJob().GetId(), r.GetEpoch(), e.owner.GetId())
		e.held[r.GetJob().GetId()] = r.GetEpoch()
	}
}

// TestFaults runs entries against the store while hosts lose power (one host,
// all hosts, or one whose disk is also lost), leaders are isolated, messages
// are lost and an entry dies. Acknowledged states must persist, each epoch must
// have one owner, and all hosts must reach the same state. The number of the
// subtest seeds the faults; the order of messages is not deterministic.
func TestFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, "h1", "h2", "h3", "h4")
	defer c.stopAll()
	acked := &history{states: map[string]wire.JobState{}, owners: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	var entries []*testEntry
	for n := range 3 {
		entry := &testEntry{
			Client: c.client(), owner: &wire.Incarnation{Id: fmt.Sprint("e", n), Number: 1}, acked: acked,
			random: rand.New(rand.NewPCG(seed, uint64(n))), held: map[string]uint64{}, done: make(chan struct{}),
		}
		c.proposeMembership(joinCommand + entry.owner.GetId())
		entries = append(entries, entry)
		go entry.run(ctx)
	}
	for round := range 8 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		c.injectFault(random)
		if round == 3 {
			c.proposeMembership(dieCommand + "e0") // it keeps calling, and its calls are refused
		}
		c.waitHealthy()
	}
	time.Sleep(2 * ClaimDelay)
	cancel()
	for _, entry := range entries {
		<-entry.done
	}
	c.checkHistory(acked)
}

// injectFault causes a random fault and then repairs it.
func (c *cluster) injectFault(random *rand.Rand) {
	leader := c.leader()
	ids := c.ids()
	one := ids[random.IntN(len(ids))]
	switch random.IntN(6) {
	case 0:
		c.restart([]string{one}, "")
	case 1:
		c.restart([]string{leader}, leader)
	case 2:
		c.restart(ids, "")
	case 3:
		c.restart(ids, one)
	case 4:
		c.withLock(func() { c.isolated = leader })
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		c.withLock(func() { c.isolated = "" })
	case 5:
		c.withLock(func() { c.lossy = true })
		time.Sleep(3 * time.Second)
		c.withLock(func() { c.lossy = false })
	}
}

func (c *cluster) withLock(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// checkHistory checks that the store still holds all acknowledged states and
// that all hosts have the same state.
func (c *cluster) checkHistory(acked *history) {
	c.t.Helper()
	c.is.Equal(acked.violations, nil)
	c.is.True(len(acked.states) > 10)
	client := c.client()
	for id, state := range acked.states {
		reply, err := client.ReadJob(context.Background(), &wire.ReadJobRequest{Id: id})
		c.is.NoErr(err)
		c.is.True(reply.GetKnown())
		c.is.True(reply.GetState() == state || !isTerminal(state) && reply.GetState() > state)
	}
	time.Sleep(time.Second) // followers learn the commit index
	c.is.Equal(c.distinctStates(), 1)
}
