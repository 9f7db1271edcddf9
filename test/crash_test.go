package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestEntryKilled guards against a job that is lost or run twice when the entry
// that coordinates it is killed. A caller that resubmits the job at another entry
// and one that only polls must both get its outcome.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 3, agents: 4})
	resubmitted := newJob("sent-again", "finCheck", 12, 2400)
	polledOnly := newJob("only-polled", "labelRelease", 12, 2400)
	lostAnswers := []<-chan answer{s.sendAsync(0, resubmitted), s.sendAsync(0, polledOnly)}
	s.awaitStarts("sent-again", 4)
	s.awaitStarts("only-polled", 4)
	s.entries[0].kill()
	for _, a := range lostAnswers {
		is.Equal((<-a).status, 0)
	}
	resent := s.send(1, resubmitted)
	if !resent.hasOutcome() {
		resent = s.awaitOutcome(1, resubmitted.key)
	}
	is.True(resent.outcome != outcomeNotRun)
	is.True(s.awaitOutcome(2, polledOnly.key).outcome != outcomeNotRun)
	is.Equal(s.awaitOutcome(2, resubmitted.key).outcome, resent.outcome) // every entry gives the same outcome
	s.awaitServing(1)
	s.checkInvariants()
}

// TestReplicasKilled guards against lost outcomes when replicas of the ledger are
// killed under load. Jobs that were complete before must still be complete after
// the loss of one member; after two, their outcome may be unknown, but must not
// change. New jobs must complete.
func TestReplicasKilled(t *testing.T) {
	tests := []struct {
		name   string
		killed []int
	}{
		{"one", []int{0}},
		{"two at once", []int{0, 1}},
		{"one after the other", []int{2, 3}},
	}
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSystem(t, size{controls: 1, entries: 2, agents: 5})
			var before []answer
			for i := range 24 {
				a := s.send(i%2, newJob(fmt.Sprintf("before-%d", i), "labelRelease", 3, 5))
				is.Equal(a.outcome, outcomeComplete)
				before = append(before, a)
			}
			stop := runInBackground(s.load("during", 2))
			for _, i := range test.killed {
				s.agents[i].kill()
				if n == 2 {
					s.awaitRemoval(i)
				}
			}
			for i := range s.entries {
				s.awaitServing(i)
			}
			stop()
			for i, a := range before {
				now := s.awaitOutcome((i+1)%2, a.job.key)
				if now.outcome == outcomeComplete {
					is.Equal(now.values, a.values)
				} else {
					is.Equal(now.reason, reasonUnknownOutcome) // records can be lost with two members
				}
				if len(test.killed) == 1 {
					is.Equal(now.outcome, outcomeComplete)
				}
			}
			s.checkInvariants()
		})
	}
}

// TestWorkerKilled guards against a second start of tasks whose agent is killed
// while they run. The job must fail.
func TestWorkerKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 4})
	running := s.sendAsync(0, newJob("worker-lost", "finCheck", 24, 1500))
	s.awaitStarts("worker-lost", 24)
	s.agents[s.workerOf("worker-lost")].kill()
	got := <-running
	is.Equal(got.outcome, outcomeFailed)
	is.Equal(s.awaitOutcome(1, "worker-lost").outcome, outcomeFailed)
	s.awaitServing(0)
	s.checkInvariants()
}

// TestEntryAndWorkerKilled guards against a job without an outcome, or a second
// start of its tasks, when its entry and one of its workers are killed at once.
func TestEntryAndWorkerKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 5})
	j := newJob("both-lost", "finCheck", 20, 1500)
	running := s.sendAsync(0, j)
	s.awaitStarts("both-lost", 20)
	worker := s.workerOf("both-lost")
	s.entries[0].kill()
	s.agents[worker].kill()
	is.Equal((<-running).status, 0)
	s.send(1, j)
	is.Equal(s.awaitOutcome(1, "both-lost").outcome, outcomeFailed)
	s.awaitServing(1)
	s.checkInvariants()
}

// TestControlRestarted guards against lost state when the only control host is
// killed and restarted: the configuration and the recorded outcomes must survive.
func TestControlRestarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 1, agents: 3})
	before := s.send(0, newJob("before", "labelRelease", 3, 5))
	is.Equal(before.outcome, outcomeComplete)
	s.controls[0].kill()
	s.controls[0].restart()
	s.awaitReady(s.entries[0])
	s.awaitServing(0)
	is.Equal(s.awaitOutcome(0, "before").values, before.values)
	s.checkInvariants()
}
