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
	// randomSteps is how many faults one randomised run has.
	randomSteps = 10
	// maxFault is the longest time that one fault lasts, longer than a lease.
	maxFault = 3 * leaseMillis * time.Millisecond
)

// step is one fault of a plan. It is over when do returns.
type step struct {
	name string
	do   func(s *system, n int, d time.Duration)
}

// steps are the faults that a plan is made of. Number n chooses the victim, and
// d is how long the fault lasts.
var steps = []step{
	{"kill an entry", func(s *system, n int, d time.Duration) { s.outage(pick(s.entries, n), d) }},
	{"kill an agent", func(s *system, n int, d time.Duration) { s.outage(pick(s.agents, n), d) }},
	{"kill two agents", func(s *system, n int, d time.Duration) {
		var both sync.WaitGroup
		both.Go(func() { s.outage(pick(s.agents, n), d) })
		both.Go(func() { s.outage(pick(s.agents, n+1), d) })
		both.Wait()
	}},
	{"kill a control host", func(s *system, n int, d time.Duration) { s.outage(pick(s.controls, n), d) }},
	{"freeze an entry", func(s *system, n int, d time.Duration) { pick(s.entries, n).freeze(d) }},
	{"freeze an agent", func(s *system, n int, d time.Duration) { pick(s.agents, n).freeze(d) }},
	{"cut an agent off", func(s *system, n int, d time.Duration) {
		wound(pick(s.agents, n).link, d, func(l *link) { l.silence(requests); l.silence(answers) })
	}},
	{"lose an agent's answers", func(s *system, n int, d time.Duration) {
		wound(pick(s.agents, n).link, d, func(l *link) { l.lose(answers) })
	}},
	{"delay an agent's answers", func(s *system, n int, d time.Duration) {
		wound(pick(s.agents, n).link, d, func(l *link) { l.delay(answers, 300, 290) })
	}},
	{"cut an entry's answers", func(s *system, n int, d time.Duration) {
		wound(pick(s.entries, n).link, d, func(l *link) { l.silence(answers) })
	}},
	{"cut a control host off", func(s *system, n int, d time.Duration) { pick(s.controls, n).isolate(d) }},
	{"cut the way to a control host", func(s *system, n int, d time.Duration) {
		wound(pick(s.controls, n).link, d, func(l *link) { l.silence(requests) })
	}},
	{"silence a backend server", func(s *system, n int, d time.Duration) {
		wound(pick(s.agents, n).announce, d, func(l *link) { l.silence(requests) })
	}},
	{"restart in good order", func(s *system, n int, d time.Duration) {
		victim := pick(append(append([]*node{}, s.entries...), s.agents...), n)
		victim.lock.Lock()
		defer victim.lock.Unlock()
		victim.signal(sigterm)
		victim.wait()
		victim.restart()
	}},
	{"storm of resubmissions", func(s *system, n int, d time.Duration) { s.storm(n) }},
	{"wave of cancellations", func(s *system, n int, d time.Duration) { s.wave(n) }},
}

// TestRandomised mixes faults with load. A seed repeats its plan; the order in
// which processes meet the faults still varies.
func TestRandomised(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, size{controls: 3, entries: 3, agents: 5})
			defer s.supervise()()
			stop := background(s.load(fmt.Sprintf("seed-%d", seed), 6))
			s.runPlan(rand.New(rand.NewPCG(seed, 0)))
			for i, e := range s.entries {
				s.awaitReady(e)
				s.awaitJob(i)
			}
			stop()
			s.settleAll()
			s.judge()
			t.Log(s.journal.summary())
		})
	}
}

// runPlan takes the steps that the source of randomness chooses, some of them
// two at a time.
func (s *system) runPlan(source *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	for i := range randomSteps {
		chosen, n := steps[source.IntN(len(steps))], source.IntN(1000)
		d := time.Duration(source.Int64N(int64(maxFault)))
		s.t.Logf("step %d: %s (%d) for %s", i, chosen.name, n, d.Round(time.Millisecond))
		running.Go(func() { chosen.do(s, n, d) })
		if source.IntN(3) > 0 {
			running.Wait()
		}
	}
}

// outage kills a process and starts it again after d.
func (s *system) outage(n *node, d time.Duration) {
	n.lock.Lock()
	defer n.lock.Unlock()
	n.kill()
	time.Sleep(d)
	n.restart()
}

// storm sends one job many times at once.
func (s *system) storm(n int) {
	j := newJob(fmt.Sprintf("storm-%d-%d", n, time.Now().UnixNano()), "labelRelease", 3, 50)
	var callers sync.WaitGroup
	for c := range 9 {
		callers.Go(func() {
			if c%4 == 3 {
				s.send(c%len(s.entries), j.altered())
				return
			}
			s.send(c%len(s.entries), j)
		})
	}
	callers.Wait()
}

// wave sends jobs and cancels most of them elsewhere.
func (s *system) wave(n int) {
	prefix := fmt.Sprintf("wave-%d-%d", n, time.Now().UnixNano())
	var callers sync.WaitGroup
	for c := range 12 {
		key := fmt.Sprintf("%s-%d", prefix, c)
		callers.Go(func() { s.send(c%len(s.entries), newJob(key, "finCheck", 4, 200)) })
		callers.Go(func() {
			time.Sleep(time.Duration(c*20) * time.Millisecond)
			s.journal.cancel(context.Background(), s.entries[(c+1)%len(s.entries)].link.address(), key)
		})
	}
	callers.Wait()
}

// wound damages a link for d.
func wound(l *link, d time.Duration, damage func(l *link)) {
	l.lock.Lock()
	defer l.lock.Unlock()
	damage(l)
	time.Sleep(d)
	l.heal()
}

func pick(nodes []*node, n int) *node { return nodes[n%len(nodes)] }
