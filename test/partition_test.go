package test

import (
	"testing"
	"time"
)

// cutTime is longer than a lease and the time to declare a member dead.
const cutTime = 3 * leaseMillis * time.Millisecond

// TestCuts damages the link to one process under load, and checks that the
// rules hold during and after, and that work goes on once the link is whole.
func TestCuts(t *testing.T) {
	tests := []struct {
		name  string
		node  func(s *system) *node
		wound func(l *link)
	}{
		{"requests to an agent vanish", firstAgent, func(l *link) { l.silence(requests) }},
		{"answers of an agent vanish", firstAgent, func(l *link) { l.silence(answers) }},
		{"an agent is cut off", firstAgent, func(l *link) { l.silence(requests); l.silence(answers) }},
		{"answers of an agent are lost", firstAgent, func(l *link) { l.lose(answers) }},
		{"answers of an agent come late and out of order", firstAgent, func(l *link) { l.delay(answers, 400, 390) }},
		{"requests to an agent come late while its answers are lost", firstAgent, func(l *link) { l.delay(requests, 400, 390); l.lose(answers) }},
		{"answers of an entry are lost", firstEntry, func(l *link) { l.lose(answers) }},
		{"answers of an entry come late and out of order", firstEntry, func(l *link) { l.delay(answers, 400, 390) }},
		{"answers of the control host vanish", firstControl, func(l *link) { l.silence(answers) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, size{controls: 1, entries: 2, agents: 4})
			defer s.supervise()()
			stop := background(s.load("cut", 4))
			n := test.node(s)
			// Tasks on their way when the link is damaged: their answers are what is lost.
			inFlight := []<-chan answer{
				s.sendAsync(0, newJob("in-flight-0", "finCheck", 12, 900)),
				s.sendAsync(1, newJob("in-flight-1", unrepeatableKind, 12, 900)),
			}
			s.awaitStarts("in-flight-0", 12)
			s.awaitStarts("in-flight-1", 12)
			test.wound(n.link)
			time.Sleep(cutTime)
			n.link.heal()
			for i := range s.entries {
				s.awaitReady(s.entries[i])
				s.awaitJob(i)
			}
			stop()
			for _, a := range inFlight {
				<-a
			}
			s.settleAll()
			s.judge()
		})
	}
}

func firstAgent(s *system) *node   { return s.agents[0] }
func firstEntry(s *system) *node   { return s.entries[0] }
func firstControl(s *system) *node { return s.controls[0] }
