package test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestEntryKilled kills the entry that coordinates a job. A caller who sends
// the job again elsewhere and one who only polls both get its outcome, and no
// task starts twice.
func TestEntryKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 3, agents: 4})
	again := newJob("sent-again", "finCheck", 12, 800)
	polled := newJob("only-polled", "labelRelease", 12, 800)
	lost := []<-chan answer{s.sendAsync(0, again), s.sendAsync(0, polled)}
	s.awaitStarts("sent-again", 4)
	s.awaitStarts("only-polled", 4)
	s.entries[0].kill()
	for _, a := range lost {
		is.Equal((<-a).status, 0)
	}
	resent := s.send(1, again)
	if !resent.final() {
		resent = s.settle(1, again.key)
	}
	is.True(resent.outcome != outcomeNotRun)
	is.True(s.settle(2, polled.key).outcome != outcomeNotRun)
	is.Equal(s.settle(2, again.key).outcome, resent.outcome) // told the same everywhere
	s.awaitJob(1)
	s.judge()
}

// TestReplicasKilled kills members of the ledger's views under load: what was
// answered before is told again, and new work is answered.
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
			stop := background(s.load("during", 2))
			for _, i := range test.killed {
				s.agents[i].kill()
				if n == 2 {
					s.awaitDead(i)
				}
			}
			for i := range s.entries {
				s.awaitJob(i)
			}
			stop()
			for i, a := range before {
				now := s.settle((i+1)%2, a.job.key)
				if now.outcome == outcomeComplete {
					is.Equal(now.values, a.values)
				} else {
					is.Equal(now.reason, reasonUnknown) // records lost with two members
				}
				if len(test.killed) == 1 {
					is.Equal(now.outcome, outcomeComplete)
				}
			}
			s.judge()
		})
	}
}

// TestWorkerKilled kills the agent that runs tasks of a job: the job fails
// plainly or completes without a second start.
func TestWorkerKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 4})
	running := s.sendAsync(0, newJob("worker-lost", "finCheck", 24, 1500))
	s.awaitStarts("worker-lost", 24)
	s.agents[s.workerOf("worker-lost")].kill()
	got := <-running
	is.Equal(got.outcome, outcomeFailed)
	is.Equal(s.settle(1, "worker-lost").outcome, outcomeFailed)
	s.awaitJob(0)
	s.judge()
}

// TestEntryAndWorkerKilled kills a job's entry and a worker at once.
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
	is.Equal(s.settle(1, "both-lost").outcome, outcomeFailed)
	s.awaitJob(1)
	s.judge()
}

// TestControlRestarted restarts the only control host: nothing is forgotten.
func TestControlRestarted(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 1, agents: 3})
	before := s.send(0, newJob("before", "labelRelease", 3, 5))
	is.Equal(before.outcome, outcomeComplete)
	s.controls[0].kill()
	s.controls[0].restart()
	s.awaitReady(s.entries[0])
	s.awaitJob(0)
	is.Equal(s.settle(0, "before").values, before.values)
	s.judge()
}
