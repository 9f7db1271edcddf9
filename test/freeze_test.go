package test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// freezeTime is longer than a member's lease and the time to declare it dead.
const freezeTime = 4 * leaseMillis * time.Millisecond

// TestEntryFrozen freezes a job's entry for longer than its lease. The job is
// sent again elsewhere meanwhile; the entry that wakes may not start anything
// anew nor tell another outcome.
func TestEntryFrozen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 3})
	// More tasks than slots, so that some wait at the frozen entry.
	j := newJob("frozen", "finCheck", 60, 600)
	first := s.sendAsync(0, j)
	s.awaitStarts("frozen", 10)
	thawed := make(chan struct{})
	go func() {
		s.entries[0].freeze(freezeTime)
		close(thawed)
	}()
	s.send(1, j)
	outcome := s.settle(1, "frozen").outcome
	<-thawed
	if got := <-first; got.final() && got.reason != reasonUnknown {
		is.Equal(got.outcome, outcome) // the ledger's word, not its own
	}
	s.awaitJob(1)
	s.judge()
}

// TestReplicaFrozen freezes a member of the ledger's views for longer than its
// lease, under load. It may acknowledge nothing after it wakes.
func TestReplicaFrozen(t *testing.T) {
	t.Parallel()
	s := newSystem(t, size{controls: 1, entries: 2, agents: 5})
	defer s.supervise()()
	stop := background(s.load("frozen", 4))
	s.agents[0].freeze(freezeTime)
	time.Sleep(leaseMillis * time.Millisecond)
	for i := range s.entries {
		s.awaitJob(i)
	}
	stop()
	s.settleAll()
	s.judge()
}
