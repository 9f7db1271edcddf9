package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResubmissionStorm guards against second starts and mixed answers when
// callers submit the same keys at several entries at once, some with different
// content.
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
					s.send(c%len(s.entries), j.withOtherContent())
					return
				}
				s.send(c%len(s.entries), j)
			})
		}
	}
	callers.Wait()
	s.awaitAllOutcomes()
	conflicts := 0
	for _, a := range s.recorder.all() {
		if a.status == http.StatusConflict {
			conflicts++
		}
	}
	is.True(conflicts >= keys*copies/3) // only one of the two contents of a key is accepted
	s.checkInvariants()
}

// TestAlteredContent guards against an answer to a different job under the same
// key: every entry must answer 409, both while the first job runs and afterwards.
func TestAlteredContent(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 3})
	j := newJob("altered", "labelRelease", 4, 800)
	running := s.sendAsync(0, j)
	s.awaitStarts("altered", 4)
	for i := range s.entries {
		is.Equal(s.send(i, j.withOtherContent()).status, http.StatusConflict)
	}
	is.Equal((<-running).outcome, outcomeComplete)
	for i := range s.entries {
		is.Equal(s.send(i, j.withOtherContent()).status, http.StatusConflict)
		is.Equal(s.send(i, j).outcome, outcomeComplete)
	}
	s.checkInvariants()
}

// TestWavesOfCancellations guards against cancellations that affect other jobs. It
// cancels many queued and running jobs at once, each at an entry other than its
// own; the remaining jobs must complete.
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
			callers.Go(func() { s.recorder.cancel(t.Context(), s.entries[(k+1)%2].link.address(), key) })
		}
	}
	callers.Wait()
	s.awaitAllOutcomes()
	for w := range waves {
		for k := 0; k < jobs; k += 5 {
			is.Equal(s.awaitOutcome(0, fmt.Sprintf("wave-%d-%d", w, k)).outcome, outcomeComplete) // not cancelled
		}
	}
	s.checkInvariants()
}

// TestRollingRestart guards against jobs that fail in a rolling restart. It
// restarts every process in turn, gracefully and under load.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 3, entries: 2, agents: 5})
	stop := runInBackground(s.load("rolling", 4))
	for _, n := range s.nodes() {
		n.signal(sigterm)
		is.Equal(n.wait(), 0) // graceful shutdown
		n.restart()
		s.awaitReady(n)
		for i := range s.entries {
			s.awaitReady(s.entries[i])
		}
	}
	time.Sleep(leaseMillis * time.Millisecond)
	stop()
	s.awaitAllOutcomes()
	for _, a := range s.recorder.all() {
		if a.outcome == outcomeFailed {
			t.Errorf("failed during a rolling restart: %v", a)
		}
	}
	s.checkInvariants()
}
