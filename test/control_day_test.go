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

// changesOfDay is how many changes of the configuration a day brings.
const changesOfDay = 2200

// dayChange is a change of a configuration of the planned size.
func dayChange(n int) *wire.PublishRequest {
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

// residentKilobytes returns the memory that a process holds.
func (n *node) residentKilobytes() string {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(line)
}

// TestDayOfChanges puts a day's changes into force one after the other. It
// logs the memory of the control hosts, and how long the last change took from
// its publishing until every member followed it.
func TestDayOfChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newGroup(t, 3)
	for i := range 3 {
		s.addAgent(i)
	}
	s.addEntry(0)
	began := time.Now()
	for n := range changesOfDay - 1 {
		s.publishDay(n)
	}
	t.Logf("%d changes accepted in %v", changesOfDay-1, time.Since(began))
	last := time.Now()
	s.publishDay(changesOfDay - 1)
	eventually(t, "every member follows the last change", func() bool {
		reply := s.leader().status()
		followers := 0
		for _, member := range reply.GetMembers() {
			if member.GetDirectoryVersion() >= reply.GetDirectory().GetVersion() {
				followers++
			}
		}
		return followers == 4
	})
	t.Logf("the last one was in force at all members after %v", time.Since(last))
	s.awaitVoters()
	for _, c := range s.controls {
		t.Logf("%s holds %s", c.id, c.residentKilobytes())
	}
	is.Equal(s.leader().status().GetDirectory().GetConfigVersion(), uint64(changesOfDay))
}

func (s *system) publishDay(n int) {
	s.t.Helper()
	var reply *wire.PublishReply
	eventually(s.t, fmt.Sprintf("an answer to change %d", n+1), func() bool {
		for _, c := range s.controls {
			if answer, err := c.control().Publish(s.t.Context(), dayChange(n)); err == nil {
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
