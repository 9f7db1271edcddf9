package test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// changesPerDay is the number of configuration changes expected in a day.
const changesPerDay = 2200

// fullSizeChange returns change n+1 of a configuration of the planned size: 20
// services with 4 kinds each, and 310 teams.
func fullSizeChange(n int) *wire.PublishRequest {
	q := &wire.PublishRequest{ChangeId: fmt.Sprintf("change%d", n+1), BaseVersion: uint64(n), Author: "operator"}
	for i := range 20 {
		service := &wire.Service{Name: fmt.Sprintf("service%d", i)}
		for k := range 4 {
			service.Kinds = append(service.Kinds, &wire.Kind{
				Name: fmt.Sprintf("kind%d", k), ExpectedRunMillis: int64(n), DeadlineMillis: 2000, MaxTasks: 460})
		}
		q.Services = append(q.Services, service)
	}
	for i := range 310 {
		q.Teams = append(q.Teams, &wire.Team{Name: fmt.Sprintf("team%d", i), Weight: 1, MaxRunning: 1000})
	}
	return q
}

// residentMemory returns the resident set size of the process, as in /proc.
func (n *node) residentMemory() string {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

// TestDayOfChanges guards against changes that are lost or no longer reach the
// members after a day's number of configuration changes. It publishes them one
// after the other and logs the memory of the control hosts and the time from the
// publication of the last change until every member has it.
func TestDayOfChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newControlGroup(t, 3)
	for i := range 3 {
		s.addAgent(i)
	}
	s.addEntry(0)
	startedAt := time.Now()
	for n := range changesPerDay - 1 {
		s.publishFullSizeChange(n)
	}
	t.Logf("%d changes accepted in %v", changesPerDay-1, time.Since(startedAt))
	lastPublishedAt := time.Now()
	s.publishFullSizeChange(changesPerDay - 1)
	eventually(t, "every member has the last change", func() bool {
		reply := s.leader().status()
		followers := 0
		for _, member := range reply.GetMembers() {
			if member.GetDirectoryVersion() >= reply.GetDirectory().GetVersion() {
				followers++
			}
		}
		return followers == 4
	})
	t.Logf("all members had the last change after %v", time.Since(lastPublishedAt))
	s.awaitVoters()
	for _, c := range s.controls {
		t.Logf("resident memory of %s: %s", c.id, c.residentMemory())
	}
	is.Equal(s.leader().status().GetDirectory().GetConfigVersion(), uint64(changesPerDay))
}

// publishFullSizeChange publishes change n+1, which must be accepted.
func (s *system) publishFullSizeChange(n int) {
	s.t.Helper()
	var reply *wire.PublishReply
	eventually(s.t, fmt.Sprintf("an answer to change %d", n+1), func() bool {
		for _, c := range s.controls {
			if answer, err := c.control().Publish(s.t.Context(), fullSizeChange(n)); err == nil {
				reply = answer
				return true
			}
		}
		return false
	})
	if !reply.GetAccepted() {
		s.t.Fatalf("change %d: %v", n+1, reply)
	}
}
