package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/standin"
)

// TestBadWorkerGetsNoWork guards against a backend server that fails every task
// and, as its slots are free again at once, draws most tasks to itself. It must
// get few tasks, so that jobs complete on the others.
func TestBadWorkerGetsNoWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 1, agents: 3})
	failing := startStandin(t, standin.Options{
		ID: "bad", Service: "sizing", Agent: s.agents[0].announce.address(), Slots: 8, Speed: 1, FailAll: true})
	s.standins = append(s.standins, failing)
	completedInARow, n := 0, 0
	eventually(t, "20 jobs in a row are complete", func() bool {
		n++
		a := s.send(0, newJob(fmt.Sprintf("beside-%d", n), "finCheck", 8, 20))
		completedInARow++
		if a.outcome != outcomeComplete {
			completedInARow = 0
		}
		return completedInARow == 20 && failing.Count() > 0
	})
	is.True(failing.Count() < 8*n/2) // less than half of all tasks, though its slots are free again at once
	s.checkInvariants()
}

// TestJobThatCanNeverRun guards against jobs that wait for their deadline although
// no worker can run them. They must be refused as not run, with a reason.
func TestJobThatCanNeverRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 1, agents: 2})
	tests := []struct {
		name string
		job  job
	}{
		{"unknown kind", newJob("never-1", "nothing", 1, 1)},
		{"too many tasks", newJob("never-2", "finCheck", 461, 1)},
		{"no tasks", newJob("never-3", "finCheck", 0, 1)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := s.send(0, test.job)
			is.Equal(a.outcome, outcomeNotRun)
			is.True(a.status >= http.StatusBadRequest && a.reason != "")
		})
	}
	for _, server := range s.standins {
		server.Close()
	}
	eventually(t, "jobs of a service without a backend server are refused", func() bool {
		j := newJob(fmt.Sprintf("never-%d", len(s.recorder.all())), nonIdempotentKind, 1, 1)
		j.deadline = 5 * time.Second
		a := s.send(0, j)
		return a.outcome == outcomeNotRun && a.reason == "noBackendServer"
	})
	s.checkInvariants()
}
