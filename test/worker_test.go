package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/standin"
)

// TestBadWorkerGetsNoWork shows that a backend server that fails everything it
// starts gets little work, so that jobs complete beside it.
func TestBadWorkerGetsNoWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 1, agents: 3})
	bad := startStandin(t, standin.Options{
		ID: "bad", Service: "sizing", Agent: s.agents[0].announce.address(), Slots: 8, Speed: 1, FailAll: true})
	s.standins = append(s.standins, bad)
	completed, n := 0, 0
	eventually(t, "20 jobs in a row are complete", func() bool {
		n++
		a := s.send(0, newJob(fmt.Sprintf("beside-%d", n), "finCheck", 8, 20))
		completed++
		if a.outcome != outcomeComplete {
			completed = 0
		}
		return completed == 20 && bad.Count() > 0
	})
	is.True(bad.Count() < 8*n/2) // it had its share of slots, not of tasks
	s.judge()
}

// TestJobThatCanNeverRun shows that a job that no worker can run is refused, with
// the reason, and not kept until its deadline.
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
		j := newJob(fmt.Sprintf("never-%d", len(s.journal.all())), unrepeatableKind, 1, 1)
		j.deadline = 5 * time.Second
		a := s.send(0, j)
		return a.outcome == outcomeNotRun && a.reason == "noBackendServer"
	})
	s.judge()
}
