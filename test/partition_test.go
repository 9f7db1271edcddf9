package test

import (
	"testing"
	"time"
)

// faultDuration exceeds a lease plus the time after which a member is declared
// dead.
const faultDuration = 3 * leaseMillis * time.Millisecond

// TestCuts guards against violated invariants when the network to one process
// drops, loses or delays traffic under load. Once the link is restored, jobs must
// complete again.
func TestCuts(t *testing.T) {
	tests := []struct {
		name   string
		node   func(s *system) *node
		inject func(l *link)
	}{
		{"requests to an agent vanish", firstAgent, func(l *link) { l.drop(requests) }},
		{"answers of an agent vanish", firstAgent, func(l *link) { l.drop(answers) }},
		{"an agent is cut off", firstAgent, func(l *link) { l.drop(requests); l.drop(answers) }},
		{"answers of an agent are lost", firstAgent, func(l *link) { l.dropAndClose(answers) }},
		{"answers of an agent come late and out of order", firstAgent, func(l *link) { l.delay(answers, 400, 390) }},
		{"requests to an agent come late while its answers are lost", firstAgent, func(l *link) { l.delay(requests, 400, 390); l.dropAndClose(answers) }},
		{"answers of an entry are lost", firstEntry, func(l *link) { l.dropAndClose(answers) }},
		{"answers of an entry come late and out of order", firstEntry, func(l *link) { l.delay(answers, 400, 390) }},
		{"answers of the control host vanish", firstControl, func(l *link) { l.drop(answers) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, size{controls: 1, entries: 2, agents: 4})
			defer s.supervise()()
			stop := runInBackground(s.load("cut", 4))
			n := test.node(s)
			// These tasks are running when the fault begins, so that it affects their
			// answers.
			inFlight := []<-chan answer{
				s.sendAsync(0, newJob("in-flight-0", "finCheck", 12, 900)),
				s.sendAsync(1, newJob("in-flight-1", nonIdempotentKind, 12, 900)),
			}
			s.awaitStarts("in-flight-0", 12)
			s.awaitStarts("in-flight-1", 12)
			test.inject(n.link)
			time.Sleep(faultDuration)
			n.link.restore()
			for i := range s.entries {
				s.awaitReady(s.entries[i])
				s.awaitServing(i)
			}
			stop()
			for _, a := range inFlight {
				<-a
			}
			s.awaitAllOutcomes()
			s.checkInvariants()
		})
	}
}

func firstAgent(s *system) *node   { return s.agents[0] }
func firstEntry(s *system) *node   { return s.entries[0] }
func firstControl(s *system) *node { return s.controls[0] }
