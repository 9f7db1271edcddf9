package job

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

var (
	seeds     = flag.Int("seeds", 8, "random runs")
	firstSeed = flag.Uint64("firstSeed", 1, "seed of the first random run")
)

// resendAfter is when a caller whose connection broke submits its job again.
const resendAfter = 1300 * time.Millisecond

// scenario is one random run with dispatchers, agents, callers and injected
// faults.
type scenario struct {
	t      *testing.T
	mu     sync.Mutex
	rand   *rand.Rand
	agents []*fakeAgent
	desks  []*Dispatcher
	// held, lost and deaf say until when requests to an agent are delayed,
	// replies lost, and halts delayed, by entry.
	held, lost, deaf []map[string]time.Time
	outcomes         map[State]int
}

// chance draws a number below n.
func (s *scenario) chance(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// fault returns what happens to a call of an entry to an agent.
func (s *scenario) fault(entry int, agent, method string) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Before(s.held[entry][agent]) || method == "Halt" && now.Before(s.deaf[entry][agent]) {
		return time.Duration(1 + s.rand.IntN(int(3*time.Second))), false
	}
	return 0, now.Before(s.lost[entry][agent])
}

// disturb injects one random fault.
func (s *scenario) disturb() {
	entry, a := s.chance(len(s.desks)), s.agents[s.chance(len(s.agents))]
	until := time.Now().Add(time.Duration(s.chance(2500)) * time.Millisecond)
	harm := s.chance(6)
	s.mu.Lock()
	switch harm {
	case 0:
		s.held[entry][a.id] = until
	case 1:
		s.lost[entry][a.id] = until
	case 5:
		s.deaf[entry][a.id] = until
	}
	s.mu.Unlock()
	switch harm {
	case 2:
		a.restart(500 * time.Millisecond)
		time.AfterFunc(700*time.Millisecond, func() { a.set(func() { a.accepting = true }) })
	case 3:
		a.set(func() { a.accepting = false })
		time.AfterFunc(time.Second, func() { a.set(func() { a.accepting = true }) })
	case 4:
		a.set(func() {
			for key := range a.runs {
				a.end(key, wire.RunHow_RUN_HOW_LOST, time.Now())
			}
		})
	}
}

// call submits a job, sometimes disconnects, and then submits it again
// elsewhere.
func (s *scenario) call(id string) {
	count := uint32(1 + s.chance(3))
	for range 4 {
		patience := 5 * time.Second
		if s.chance(3) == 0 {
			patience = time.Duration(20+s.chance(600)) * time.Millisecond
		}
		ctx, cancel := context.WithTimeout(s.t.Context(), patience)
		out := s.desks[s.chance(len(s.desks))].Submit(ctx, newJob(id, count))
		cancel()
		s.mu.Lock()
		s.outcomes[out.State]++
		s.mu.Unlock()
		if out.State != Abandoned {
			return
		}
		time.Sleep(resendAfter)
	}
}

// TestOneRunAtATime checks under random faults that no two runs of a task
// exist at the same time, even if the job is submitted again.
func TestOneRunAtATime(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runScenario(t, seed) })
		})
	}
}

func runScenario(t *testing.T, seed uint64) {
	s := &scenario{t: t, rand: rand.New(rand.NewPCG(seed, 1)), outcomes: map[State]int{}}
	byID := map[string]*fakeAgent{}
	for i := range 4 {
		a := newFake(fmt.Sprint("a", i), 3000, func(string, uint32) (time.Duration, wire.RunHow) {
			switch s.chance(10) {
			case 0:
				return 30 * time.Millisecond, wire.RunHow_RUN_HOW_FAILED
			case 1:
				return 3 * time.Second, wire.RunHow_RUN_HOW_DONE
			}
			return time.Duration(20+s.chance(300)) * time.Millisecond, wire.RunHow_RUN_HOW_DONE
		})
		s.agents = append(s.agents, a)
		byID[a.id] = a
	}
	for range 3 {
		s.held = append(s.held, map[string]time.Time{})
		s.lost = append(s.lost, map[string]time.Time{})
		s.deaf = append(s.deaf, map[string]time.Time{})
	}
	for i := range 3 {
		n := &network{agents: byID, fault: func(agent, method string) (time.Duration, bool) { return s.fault(i, agent, method) }}
		d, _ := startDispatcher(t, fmt.Sprint("e", i), n)
		s.desks = append(s.desks, d)
	}
	time.Sleep(100 * time.Millisecond)
	var callers sync.WaitGroup
	for i := range 150 {
		if s.chance(5) == 0 {
			s.disturb()
		}
		callers.Go(func() { s.call(fmt.Sprint(i)) })
		time.Sleep(time.Duration(s.chance(60)) * time.Millisecond)
	}
	callers.Wait()
	time.Sleep(10 * time.Second)
	s.check()
}

// check verifies that the runs of each task don't overlap, and that nothing
// is left.
func (s *scenario) check() {
	is := is.New(s.t)
	var all []span
	for _, a := range s.agents {
		a.set(func() {})
		is.Equal(a.live(), 0)
		all = append(all, a.spans...)
	}
	slices.SortFunc(all, func(a, b span) int { return a.from.Compare(b.from) })
	ended := map[string]time.Time{}
	for _, one := range all {
		if one.from.Before(ended[one.task]) {
			s.t.Errorf("two runs of %s: one from %v until after %v", one.task, ended[one.task], one.from)
		}
		ended[one.task] = latest(ended[one.task], one.to)
	}
	for _, d := range s.desks {
		d.mu.Lock()
		is.Equal(len(d.jobs), 0)
		is.Equal(len(d.queue), 0)
		for _, l := range d.links {
			is.Equal(len(l.runs)+len(l.orphans)+len(l.haltSender.waiting), 0)
			is.Equal(l.unanswered.CPUMillis, int64(0))
		}
		d.mu.Unlock()
	}
	s.t.Log("outcomes", s.outcomes, "runs", len(all))
	is.True(s.outcomes[Complete] > 50)
}
