package control

import (
	"testing"
	"time"

	"skylarklane.example/lib/wire"
)

// BenchmarkNoDueCommands measures a check that finds no commands due, with 1,100
// agents and 1,024 shards.
func BenchmarkNoDueCommands(b *testing.B) {
	s := &state{machine: newMachine(), leases: newLeases(time.Hour)}
	now := time.Now()
	index := uint64(0)
	apply := func(commands []*wire.Command) {
		for _, command := range commands {
			index++
			s.machine.apply(index, command)
		}
	}
	for n := range 1100 {
		member := newAgent(n, 1)
		apply([]*wire.Command{joinCommand(member)})
		s.leases.grant(member.GetIncarnation(), 0, now)
	}
	for {
		commands := s.dueCommands(&wire.Limits{}, 1024, now)
		if len(commands) == 0 {
			break
		}
		apply(commands)
	}
	for b.Loop() {
		s.dueCommands(&wire.Limits{}, 1024, now)
	}
}
