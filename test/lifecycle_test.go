package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestEntryShutdown guards against jobs lost in the graceful shutdown of an entry:
// after SIGTERM it must answer the requests in flight, refuse new submissions as
// not run, and record the outcomes before it exits.
func TestEntryShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 2, agents: 3})
	running := s.sendAsync(0, newJob("in-flight", "finCheck", 12, 1500))
	s.awaitStarts("in-flight", 12)
	s.entries[0].signal(sigterm)
	eventually(t, "the entry is not ready", func() bool {
		return httpStatus(s.entries[0].link.address(), "/readyz") == http.StatusServiceUnavailable
	})
	refused := s.send(0, newJob("too-late", "finCheck", 1, 1))
	is.Equal(refused.outcome, outcomeNotRun)
	is.Equal((<-running).outcome, outcomeComplete)
	is.Equal(s.entries[0].wait(), 0)
	is.Equal(s.awaitOutcome(1, "in-flight").outcome, outcomeComplete) // recorded before the entry exited
	s.checkInvariants()
}

// TestAgentShutdown guards against tasks lost in the graceful shutdown of an agent:
// after SIGTERM it must finish its tasks and take no new ones.
func TestAgentShutdown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 1, agents: 4})
	running := s.sendAsync(0, newJob("in-flight", "finCheck", 32, 1500))
	s.awaitStarts("in-flight", 32)
	s.agents[0].signal(sigterm)
	is.Equal((<-running).outcome, outcomeComplete)
	is.Equal(s.agents[0].wait(), 0)
	before := s.standins[0].Count()
	for n := range 5 {
		is.Equal(s.send(0, newJob(fmt.Sprintf("after-%d", n), "finCheck", 8, 20)).outcome, outcomeComplete)
	}
	is.Equal(s.standins[0].Count(), before) // its backend server gets no more tasks
	is.Equal(s.awaitOutcome(0, "in-flight").outcome, outcomeComplete)
	s.checkInvariants()
}

// TestLeavingBackendServer guards against tasks sent to a backend server that has
// announced its departure or whose announcements have stopped.
func TestLeavingBackendServer(t *testing.T) {
	tests := []struct {
		name  string
		leave func(s *system)
	}{
		{"announcement", func(s *system) { s.standins[0].Leave(s.t.Context()) }},
		{"no announcements", func(s *system) { s.agents[0].announce.drop(requests) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newSystem(t, size{controls: 1, entries: 1, agents: 2})
			running := s.sendAsync(0, newJob("in-flight", "finCheck", 16, 500))
			s.awaitStarts("in-flight", 16)
			test.leave(s)
			eventually(t, "the agent knows no backend server", func() bool { return len(s.workers()[0].BackendServers) == 0 })
			is.Equal((<-running).outcome, outcomeComplete)
			before := s.standins[0].Count()
			for n := range 5 {
				is.Equal(s.send(0, newJob(fmt.Sprintf("after-%d", n), "finCheck", 8, 20)).outcome, outcomeComplete)
			}
			is.Equal(s.standins[0].Count(), before)
			s.checkInvariants()
		})
	}
}

// worker is one worker in the JSON output of `skylarklane workers`.
type worker struct {
	ID             string
	Reached        bool
	Leaving        bool
	BackendServers []struct {
		ID    string
		Slots int
	}
}

// workers lists the workers with `skylarklane workers`, in the order of their IDs,
// and waits until there are as many as agents.
func (s *system) workers() []worker {
	s.t.Helper()
	var found []worker
	eventually(s.t, "the workers are listed", func() bool {
		code, output := runCommand(s.t, "workers", "--control", s.controls[0].link.address(), "--output", "json")
		return code == 0 && json.Unmarshal([]byte(output), &found) == nil && len(found) == len(s.agents)
	})
	return found
}

// TestCommands checks the exit codes and output of the skylarklane commands.
func TestCommands(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 1, agents: 3})
	control, entry := s.controls[0].link.address(), s.entries[0].link.address()
	unreachable := newLink(t, "dead").address()
	payloadFile := writeFile(t, "{\"value\":1}\n{\"value\":2}\n")
	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"no command", nil, 2, "expected"},
		{"unknown flag", []string{"status", "--nothing"}, 2, "--nothing"},
		{"status", []string{"status", "--control", control}, 0, "worker1"},
		{"status as JSON", []string{"status", "--control", control, "-o", "json"}, 0, `"role": "agent"`},
		{"status unreachable", []string{"status", "--control", unreachable}, 1, "did not respond"},
		{"workers", []string{"workers", "--control", control}, 0, "backend1"},
		{"submit", []string{"submit", "sizing", "--entry", entry, "--kind", "finCheck", "--key", "by-hand", payloadFile}, 0, "complete"},
		{"submit again", []string{"submit", "sizing", "--entry", entry, "--kind", "finCheck", "--key", "by-hand", "-o", "json", payloadFile}, 0, `"outcome": "complete"`},
		{"submit other content", []string{"submit", "sizing", "--entry", entry, "--kind", "finCheck", "--key", "by-hand", writeFile(t, "3")}, 3, "keyConflict"},
		{"submit a failing task", []string{"submit", "sizing", "--entry", entry, "--kind", "finCheck", writeFile(t, `{"fail":true}`)}, 1, "taskFailed"},
		{"submit an unknown kind", []string{"submit", "sizing", "--entry", entry, "--kind", "nothing", payloadFile}, 3, "nothing"},
		{"submit invalid JSON", []string{"submit", "sizing", "--entry", entry, "--kind", "finCheck", writeFile(t, "{")}, 2, "payload 0"},
		{"drain an unknown member", []string{"drain", "nobody", "--control", control}, 3, "nobody"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			code, output := runCommand(t, test.args...)
			t.Log(output)
			is.Equal(code, test.code)
			is.True(strings.Contains(output, test.want))
		})
	}
	code, _ := runCommand(t, "drain", "worker1", "--control", control, "--wait", "60s")
	is.Equal(code, 0)
	is.Equal(s.agents[0].wait(), 0)
	is.Equal(len(s.standins[0].Starts())+len(s.standins[1].Starts())+len(s.standins[2].Starts()) > 2, true)
}

// TestHealth checks the health, readiness and metrics endpoints of every role.
func TestHealth(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSystem(t, size{controls: 1, entries: 1, agents: 2})
	for _, n := range s.nodes() {
		for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
			is.Equal(httpStatus(n.link.address(), path), http.StatusOK) // every process serves /healthz, /readyz and /metrics
		}
	}
	// Members that cannot reach the control group are not ready once their leases
	// have expired.
	s.controls[0].kill()
	for _, n := range append(s.entries, s.agents...) {
		eventually(t, n.id+" is not ready", func() bool {
			return httpStatus(n.link.address(), "/readyz") == http.StatusServiceUnavailable
		})
	}
}
