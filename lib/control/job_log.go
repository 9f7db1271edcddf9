package control

import (
	"context"

	"skylarklane.example/lib/store"
	"skylarklane.example/lib/wire"
)

// jobLog gives the store of durable jobs access to the group's log.
type jobLog struct{ c *Control }

var _ store.Log = jobLog{}

// Propose implements store.Log.
func (l jobLog) Propose(ctx context.Context, command *wire.StoreCommand) (any, error) {
	return l.c.commit(ctx, &wire.Command{Command: &wire.Command_Store{Store: command}})
}

// Read implements store.Log.
func (l jobLog) Read(ctx context.Context, f func(m *store.Machine, members store.Members, term uint64)) error {
	return l.c.node.Read(ctx, func(term uint64) { f(l.c.state.machine.jobs, l.c.state.machine, term) })
}

// Leader implements store.Log.
func (l jobLog) Leader(err error) string { return l.c.leaderAddress(err) }

// IsMember implements store.Members.
func (m *machine) IsMember(inc *wire.Incarnation) bool { return m.member(inc) != nil }
