package test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed = flag.Uint64("firstSeed", 1, "first seed of the randomised runs")
	seeds     = flag.Uint64("seeds", 2, "number of randomised runs")
)

const (
	// stepsPerRun is the number of steps in one randomised run.
	stepsPerRun = 10
	// maxFaultDuration bounds the duration of one fault. It exceeds a lease, so
	// that some faults outlast it.
	maxFaultDuration = 3 * leaseMillis * time.Millisecond
)

// step is one fault or burst of requests of a randomised run. It is over when do
// returns.
type step struct {
	name string
	do   func(s *system, n int, d time.Duration)
}

// steps holds the steps from which a run chooses. The random number n selects the
// process, and d is the duration of the fault. Changing their
// order changes the steps of every seed.
var steps = []step{
	{"kill an entry", func(s *system, n int, d time.Duration) { s.killAndRestart(pick(s.entries, n), d) }},
	{"kill an agent", func(s *system, n int, d time.Duration) { s.killAndRestart(pick(s.agents, n), d) }},
	{"kill two agents", func(s *system, n int, d time.Duration) {
		var both sync.WaitGroup
		both.Go(func() { s.killAndRestart(pick(s.agents, n), d) })
		both.Go(func() { s.killAndRestart(pick(s.agents, n+1), d) })
		both.Wait()
	}},
	{"kill a control host", func(s *system, n int, d time.Duration) { s.killAndRestart(pick(s.controls, n), d) }},
	{"freeze an entry", func(s *system, n int, d time.Duration) { pick(s.entries, n).freeze(d) }},
	{"freeze an agent", func(s *system, n int, d time.Duration) { pick(s.agents, n).freeze(d) }},
	{"isolate an agent", func(s *system, n int, d time.Duration) {
		withFault(pick(s.agents, n).link, d, func(l *link) { l.drop(requests); l.drop(answers) })
	}},
	{"lose the answers of an agent", func(s *system, n int, d time.Duration) {
		withFault(pick(s.agents, n).link, d, func(l *link) { l.dropAndClose(answers) })
	}},
	{"delay the answers of an agent", func(s *system, n int, d time.Duration) {
		withFault(pick(s.agents, n).link, d, func(l *link) { l.delay(answers, 300, 290) })
	}},
	{"drop the answers of an entry", func(s *system, n int, d time.Duration) {
		withFault(pick(s.entries, n).link, d, func(l *link) { l.drop(answers) })
	}},
	{"isolate a control host", func(s *system, n int, d time.Duration) { pick(s.controls, n).isolate(d) }},
	{"drop requests to a control host", func(s *system, n int, d time.Duration) {
		withFault(pick(s.controls, n).link, d, func(l *link) { l.drop(requests) })
	}},
	{"drop the announcements of a backend server", func(s *system, n int, d time.Duration) {
		withFault(pick(s.agents, n).announce, d, func(l *link) { l.drop(requests) })
	}},
	{"restart a process gracefully", func(s *system, n int, d time.Duration) {
		victim := pick(append(append([]*node{}, s.entries...), s.agents...), n)
		victim.outageLock.Lock()
		defer victim.outageLock.Unlock()
		victim.signal(sigterm)
		victim.wait()
		victim.restart()
	}},
	{"burst of resubmissions", func(s *system, n int, d time.Duration) { s.resubmitConcurrently(n) }},
	{"burst of cancellations", func(s *system, n int, d time.Duration) { s.cancelConcurrently(n) }},
}

// TestRandomised guards against invariants that only combinations of faults
// violate. It injects random faults under load. The same seed gives the same
// steps; their interleaving with the work of the processes still varies.
func TestRandomised(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, size{controls: 3, entries: 3, agents: 5})
			defer s.supervise()()
			stop := runInBackground(s.load(fmt.Sprintf("seed-%d", seed), 6))
			s.runPlan(rand.New(rand.NewPCG(seed, 0)))
			for i, e := range s.entries {
				s.awaitReady(e)
				s.awaitServing(i)
			}
			stop()
			s.awaitAllOutcomes()
			s.checkInvariants()
			t.Log(s.recorder.summary())
		})
	}
}

// runPlan runs the steps that rng selects, some of them concurrently.
func (s *system) runPlan(rng *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := range stepsPerRun {
		chosen, n := steps[rng.IntN(len(steps))], rng.IntN(1000)
		d := time.Duration(rng.Int64N(int64(maxFaultDuration)))
		s.t.Logf("step %d: %s (%d) for %s", i, chosen.name, n, d.Round(time.Millisecond))
		running.Go(func() { chosen.do(s, n, d) })
		if rng.IntN(3) > 0 {
			running.Wait()
		}
	}
}

// killAndRestart kills a process and restarts it after d.
func (s *system) killAndRestart(n *node, d time.Duration) {
	n.outageLock.Lock()
	defer n.outageLock.Unlock()
	n.kill()
	time.Sleep(d)
	n.restart()
}

// resubmitConcurrently submits one job many times at once, some of them with
// other content.
func (s *system) resubmitConcurrently(n int) {
	j := newJob(fmt.Sprintf("storm-%d-%d", n, time.Now().UnixNano()), "labelRelease", 3, 50)
	var callers sync.WaitGroup
	for c := range 9 {
		callers.Go(func() {
			if c%4 == 3 {
				s.send(c%len(s.entries), j.withOtherContent())
				return
			}
			s.send(c%len(s.entries), j)
		})
	}
	callers.Wait()
}

// cancelConcurrently submits jobs and cancels each at another entry, some before
// and some after they are complete.
func (s *system) cancelConcurrently(n int) {
	prefix := fmt.Sprintf("wave-%d-%d", n, time.Now().UnixNano())
	var callers sync.WaitGroup
	for c := range 12 {
		key := fmt.Sprintf("%s-%d", prefix, c)
		callers.Go(func() { s.send(c%len(s.entries), newJob(key, "finCheck", 4, 200)) })
		callers.Go(func() {
			time.Sleep(time.Duration(c*20) * time.Millisecond)
			s.recorder.cancel(context.Background(), s.entries[(c+1)%len(s.entries)].link.address(), key)
		})
	}
	callers.Wait()
}

// withFault injects a fault into a link for d.
func withFault(l *link, d time.Duration, inject func(l *link)) {
	l.faultLock.Lock()
	defer l.faultLock.Unlock()
	inject(l)
	time.Sleep(d)
	l.restore()
}

// pick returns the node that the random number n selects.
func pick(nodes []*node, n int) *node { return nodes[n%len(nodes)] }
