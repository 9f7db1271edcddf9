package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResubmissionStorm sends the same keys many times over several entries at
// once, some with altered content.
func TestResubmissionStorm(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 3, agents: 4})
	const keys, copies = 20, 9
	var callers sync.WaitGroup
	for k := range keys {
		j := newJob(fmt.Sprintf("storm-%d", k), []string{"finCheck", "labelRelease"}[k%2], 1+k%4, 30)
		for c := range copies {
			callers.Go(func() {
				if c%3 == 2 {
					s.send(c%len(s.entries), j.altered())
					return
				}
				s.send(c%len(s.entries), j)
			})
		}
	}
	callers.Wait()
	s.settleAll()
	conflicts := 0
	for _, a := range s.journal.all() {
		if a.status == http.StatusConflict {
			conflicts++
		}
	}
	is.True(conflicts >= keys*copies/3) // of two contents only one is taken
	s.judge()
}

// TestAlteredContent shows that a key with other content gets 409, during and
// after the run, at each entry.
func TestAlteredContent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 3})
	j := newJob("altered", "labelRelease", 4, 800)
	running := s.sendAsync(0, j)
	s.awaitStarts("altered", 4)
	for i := range s.entries {
		is.Equal(s.send(i, j.altered()).status, http.StatusConflict)
	}
	is.Equal((<-running).outcome, outcomeComplete)
	for i := range s.entries {
		is.Equal(s.send(i, j.altered()).status, http.StatusConflict)
		is.Equal(s.send(i, j).outcome, outcomeComplete)
	}
	s.judge()
}

// TestWavesOfCancellations cancels many queued and running jobs at once, at
// other entries than their own, while others go on.
func TestWavesOfCancellations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 3})
	const waves, jobs = 3, 30
	var callers sync.WaitGroup
	for w := range waves {
		for k := range jobs {
			key := fmt.Sprintf("wave-%d-%d", w, k)
			callers.Go(func() { s.send(k%2, newJob(key, "finCheck", 4, 200)) })
		}
		s.awaitStarts(fmt.Sprintf("wave-%d-0", w), 1)
		for k := range jobs {
			if k%5 == 0 {
				continue
			}
			key := fmt.Sprintf("wave-%d-%d", w, k)
			callers.Go(func() { s.journal.cancel(t.Context(), s.entries[(k+1)%2].link.address(), key) })
		}
	}
	callers.Wait()
	s.settleAll()
	for w := range waves {
		for k := 0; k < jobs; k += 5 {
			is.Equal(s.settle(0, fmt.Sprintf("wave-%d-%d", w, k)).outcome, outcomeComplete) // not cancelled
		}
	}
	s.judge()
}

// TestRollingRestart restarts every process in turn under load, in good order.
// No answer is lost: each caller gets one at the entry that it asked.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 3, entries: 2, agents: 5})
	stop := background(s.load("rolling", 4))
	for _, n := range s.nodes() {
		n.signal(sigterm)
		is.Equal(n.wait(), 0) // n.id
		n.restart()
		s.awaitReady(n)
		for i := range s.entries {
			s.awaitReady(s.entries[i])
		}
	}
	time.Sleep(leaseMillis * time.Millisecond)
	stop()
	s.settleAll()
	for _, a := range s.journal.all() {
		if a.outcome == outcomeFailed {
			t.Errorf("failed in a restart in good order: %v", a)
		}
	}
	s.judge()
}
