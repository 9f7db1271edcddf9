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

// ledgerOf is what the entries of a test were told, and must stay true.
type ledgerOf struct {
	mu sync.Mutex
	// last are the states that were acknowledged of each job.
	last map[string]wire.JobState
	// owners of each job and epoch.
	owners map[string]string
	broken []string
}

// owned takes in that an entry was given a job.
func (l *ledgerOf) owned(id string, epoch uint64, who string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := fmt.Sprint(id, ".", epoch)
	if other := l.owners[key]; other != "" && other != who {
		l.broken = append(l.broken, fmt.Sprintf("%s is owned by %s and by %s", key, other, who))
	}
	l.owners[key] = who
}

// told takes in a state that was shown or acknowledged.
func (l *ledgerOf) told(id string, state wire.JobState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before := l.last[id]; state < before || isLast(before) && state != before {
		l.broken = append(l.broken, fmt.Sprintf("%s was %v and is %v", id, before, state))
	}
	l.last[id] = state
}

// keeper is an entry that keeps jobs, brings them forward, and claims others'.
type keeper struct {
	*Client
	who    *wire.Incarnation
	told   *ledgerOf
	random *rand.Rand
	held   map[string]uint64
	done   chan struct{}
}

func (k *keeper) run(ctx context.Context) {
	defer close(k.done)
	for n := 0; ctx.Err() == nil; n++ {
		switch k.random.IntN(6) {
		case 0, 1:
			k.keep(ctx, fmt.Sprintf("%s-%d", k.who.GetId(), n))
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

// pick returns a job that this entry has, in a fixed order.
func (k *keeper) pick() string {
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

func (k *keeper) keep(ctx context.Context, id string) {
	reply, err := k.Keep(ctx, &wire.KeepRequest{Owner: k.who, Job: job(id, id)})
	if err != nil || !reply.GetStored() {
		return
	}
	k.told.told(id, queued)
	if reply.GetEpoch() > 0 {
		k.told.owned(id, reply.GetEpoch(), k.who.GetId())
		k.held[id] = reply.GetEpoch()
	}
}

func (k *keeper) note(ctx context.Context) {
	id := k.pick()
	if id == "" {
		return
	}
	state := []wire.JobState{queued, running, running, completed, failed}[k.random.IntN(5)]
	n := &wire.JobNote{Id: id, Epoch: k.held[id], State: state, Tasks: []*wire.TaskRecord{{Task: id + ".0.0.0", Attempt: k.random.Uint32N(9)}}}
	reply, err := k.Note(ctx, &wire.NoteRequest{Owner: k.who, Notes: []*wire.JobNote{n}})
	if err != nil {
		return
	}
	result := reply.GetResults()[0]
	if result.GetStored() {
		k.told.told(id, result.GetState())
	}
	if !result.GetStored() || isLast(result.GetState()) {
		delete(k.held, id)
	}
}

func (k *keeper) cancel(ctx context.Context) {
	id := k.pick()
	reply, err := k.CancelKept(ctx, &wire.CancelKeptRequest{Id: id})
	if err == nil && reply.GetKnown() {
		k.told.told(id, reply.GetState())
	}
}

func (k *keeper) claim(ctx context.Context) {
	q := &wire.ClaimJobsRequest{Owner: k.who, Limit: 3}
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
		k.told.owned(r.GetJob().GetId(), r.GetEpoch(), k.who.GetId())
		k.held[r.GetJob().GetId()] = r.GetEpoch()
	}
}

// TestFaults has entries keep jobs while hosts lose their power, one, all or
// all but one whose disk is lost, while leaders are cut off and entries die.
// What was acknowledged must stay, one owner must have each epoch, and all
// hosts must come to the same state. The subtest's number
// seeds the faults; the order of messages differs from run to run.
func TestFaults(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, seed) })
		})
	}
}

func playFaults(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(t, "h1", "h2", "h3", "h4")
	defer c.stopAll()
	told := &ledgerOf{last: map[string]wire.JobState{}, owners: map[string]string{}}
	ctx, cancel := context.WithCancel(context.Background())
	var keepers []*keeper
	for n := range 3 {
		k := &keeper{
			Client: c.client(), who: &wire.Incarnation{Id: fmt.Sprint("e", n), Number: 1}, told: told,
			random: rand.New(rand.NewPCG(seed, uint64(n))), held: map[string]uint64{}, done: make(chan struct{}),
		}
		c.change(joinCommand + k.who.GetId())
		keepers = append(keepers, k)
		go k.run(ctx)
	}
	for round := range 8 {
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		c.fault(random)
		if round == 3 {
			c.change(dieCommand + "e0") // it goes on, and is refused
		}
		c.whole()
	}
	time.Sleep(2 * ClaimWait)
	cancel()
	for _, k := range keepers {
		<-k.done
	}
	c.check(told)
}

// fault breaks something and mends it again.
func (c *cluster) fault(random *rand.Rand) {
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
		c.set(func() { c.alone = leader })
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		c.set(func() { c.alone = "" })
	case 5:
		c.set(func() { c.lossy = true })
		time.Sleep(3 * time.Second)
		c.set(func() { c.lossy = false })
	}
}

func (c *cluster) set(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// check requires that all that was told is true still.
func (c *cluster) check(told *ledgerOf) {
	c.t.Helper()
	c.is.Equal(told.broken, nil)
	c.is.True(len(told.last) > 10)
	client := c.client()
	for id, state := range told.last {
		reply, err := client.ReadJob(context.Background(), &wire.ReadJobRequest{Id: id})
		c.is.NoErr(err)
		c.is.True(reply.GetKnown())
		c.is.True(reply.GetState() == state || !isLast(state) && reply.GetState() > state)
	}
	time.Sleep(time.Second) // the others hear what is committed
	c.is.Equal(c.states(), 1)
}
