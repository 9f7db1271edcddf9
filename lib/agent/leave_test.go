package agent

import (
	"testing"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

func TestHandover(t *testing.T) {
	self := &wire.Incarnation{Id: "worker1", Number: 1}
	earlier := &wire.Incarnation{Id: "worker1", Number: 7}
	other := &wire.Incarnation{Id: "worker2", Number: 2}
	member := func(incarnation *wire.Incarnation, role wire.Role, leaving bool) *wire.Member {
		return &wire.Member{Incarnation: incarnation, Role: role, Leaving: leaving}
	}
	tests := []struct {
		name                      string
		directory                 *wire.Directory
		servesShard, hasSuccessor bool
	}{
		{"no views", &wire.Directory{}, false, false},
		{"primary", &wire.Directory{Views: []*wire.View{{Primary: self}}}, true, false},
		{"backup", &wire.Directory{Views: []*wire.View{{Primary: other, Backups: []*wire.Incarnation{self}}}}, true, false},
		{"still copying", &wire.Directory{Views: []*wire.View{{Primary: other, Joining: []*wire.Incarnation{self}}}}, false, false},
		{"earlier incarnation", &wire.Directory{Views: []*wire.View{{Primary: earlier}}}, false, false},
		{"another agent remains", &wire.Directory{Members: []*wire.Member{member(self, wire.Role_ROLE_AGENT, true), member(other, wire.Role_ROLE_AGENT, false)}}, false, true},
		{"the other agent is leaving too", &wire.Directory{Members: []*wire.Member{member(other, wire.Role_ROLE_AGENT, true)}}, false, false},
		{"an entry is not a successor", &wire.Directory{Members: []*wire.Member{member(other, wire.Role_ROLE_ENTRY, false)}}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(servesShard(test.directory, self), test.servesShard)
			is.Equal(hasSuccessor(test.directory, self), test.hasSuccessor)
		})
	}
}
