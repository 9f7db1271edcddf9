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
func (l *history) addOwner(id string, epoch uint64, who string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := fmt.Sprint(id, ".", epoch)
	if other := l.owners[key]; other != "" && other != who {
		l.violations = append(l.violations, fmt.Sprintf("%s is owned by %s and by %s", key, other, who))
	}
	l.owners[key] = who
}

// acked records a state that a reply returned or acknowledged.
func (l *history) acked(id string, state wire.JobState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before := l.states[id]; state < before || isTerminal(before) && state != before {
		l.violations = append(l.violations, fmt.Sprintf("%s was %v and is %v", id, before, state))
	}
	l.states[id] = state
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

func (k *testEntry) run(ctx context.Context) {
	defer close(k.done)
	for n := 0; ctx.Err() == nil; n++ {
		switch k.random.IntN(6) {
		case 0, 1:
			k.keep(ctx, fmt.Sprintf("%s-%d", k.owner.GetId(), n))
		case 2:
			k.claim(ctx)
		case 3:
			k.cancel(ctx)
		default:
			k.note(ctx)
		}
		time.Sleep(time.Duration(k.random.IntN(100)) * time.Millisecond)
	}
}

// pickJob returns a random job that the entry holds. The jobs are sorted first,
// so that the choice depends only on the seed.
func (k *testEntry) pickJob() string {
	var ids []string
	for id := range k.held {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return ""
	}
	slices.Sort(ids)
	return ids[k.random.IntN(len(ids))]
}

func (k *testEntry) keep(ctx context.Context, id string) {
	reply, err := k.Keep(ctx, &wire.KeepRequest{Owner: k.owner, Job: job(id, id)})
	if err != nil || !reply.GetStored() {
		return
	}
	k.acked.acked(id, queued)
	if reply.GetEpoch() > 0 {
		k.acked.addOwner(id, reply.GetEpoch(), k.owner.GetId())
		k.held[id] = reply.GetEpoch()
	}
}

func (k *testEntry) note(ctx context.Context) {
	id := k.pickJob()
	if id == "" {
		return
	}
	state := []wire.JobState{queued, running, running, completed, failed}[k.random.IntN(5)]
	n := &wire.JobNote{Id: id, Epoch: k.held[id], State: state, Tasks: []*wire.TaskRecord{{Task: id + ".0.0.0", Attempt: k.random.Uint32N(9)}}}
	reply, err := k.Note(ctx, &wire.NoteRequest{Owner: k.owner, Notes: []*wire.JobNote{n}})
	if err != nil {
		return
	}
	result := reply.GetResults()[0]
	if result.GetStored() {
		k.acked.acked(id, result.GetState())
	}
	if !result.GetStored() || isTerminal(result.GetState()) {
		delete(k.held, id)
	}
}

func (k *testEntry) cancel(ctx context.Context) {
	id := k.pickJob()
	reply, err := k.CancelKept(ctx, &wire.CancelKeptRequest{Id: id})
	if err == nil && reply.GetKnown() {
		k.acked.acked(id, reply.GetState())
	}
}

func (k *testEntry) claim(ctx context.Context) {
	q := &wire.ClaimJobsRequest{Owner: k.owner, Limit: 3}
	for id, epoch := range k.held {
		q.Held = append(q.Held, &wire.HeldJob{Id: id, Epoch: epoch})
	}
	reply, err := k.ClaimJobs(ctx, q)
	if err != nil {
		return
	}
	for _, id := range slices.Concat(reply.GetLost(), reply.GetCancelled()) {
		delete(k.held, id)
	}
	for _, r := range reply.GetJobs() {
		k.acked.addOwner(r.GetJob().GetId(), r.GetEpoch(), k.owner.GetId())
		k.held[r.GetJob().GetId()] = r.GetEpoch()
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
		k := &testEntry{
			Client: c.client(), owner: &wire.Incarnation{Id: fmt.Sprint("e", n), Number: 1}, acked: acked,
			random: rand.New(rand.NewPCG(seed, uint64(n))), held: map[string]uint64{}, done: make(chan struct{}),
		}
		c.proposeMembership(joinCommand + k.owner.GetId())
		entries = append(entries, k)
		go k.run(ctx)
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
	for _, k := range entries {
		<-k.done
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
