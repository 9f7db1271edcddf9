package test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// freezeDuration exceeds the lease of a member plus the time after which it is
// declared dead.
const freezeDuration = 4 * leaseMillis * time.Millisecond

// TestEntryFrozen guards against an entry that acts on an expired lease. It is
// frozen for longer than the lease while its job is resubmitted at another entry.
// After it resumes it must not start tasks again or report a different outcome.
func TestEntryFrozen(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 3})
	// There are more tasks than slots, so that some are queued at the frozen entry.
	j := newJob("frozen", "finCheck", 60, 600)
	first := s.sendAsync(0, j)
	s.awaitStarts("frozen", 10)
	thawed := make(chan struct{})
	go func() {
		s.entries[0].freeze(freezeDuration)
		close(thawed)
	}()
	s.send(1, j)
	outcome := s.awaitOutcome(1, "frozen").outcome
	<-thawed
	if got := <-first; got.hasOutcome() && got.reason != reasonUnknownOutcome {
		is.Equal(got.outcome, outcome) // the outcome in the ledger
	}
	s.awaitServing(1)
	s.checkInvariants()
}

// TestReplicaFrozen guards against a replica of the ledger that acknowledges
// requests on an expired lease. It is frozen for longer than the lease under load
// and must acknowledge nothing after it resumes.
func TestReplicaFrozen(t *testing.T) {
	t.Parallel()
	s := newSystem(t, size{controls: 1, entries: 2, agents: 5})
	defer s.supervise()()
	stop := runInBackground(s.load("frozen", 4))
	s.agents[0].freeze(freezeDuration)
	time.Sleep(leaseMillis * time.Millisecond)
	for i := range s.entries {
		s.awaitServing(i)
	}
	stop()
	s.awaitAllOutcomes()
	s.checkInvariants()
}
