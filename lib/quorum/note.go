package quorum

import (
	"context"
	"log/slog"

	"skylarklane.example/lib/event"
)

// Reasons of a change of the leader.
const (
	reasonElected  = "elected"
	reasonNoQuorum = "noQuorum"
	reasonDeposed  = "deposed"
	reasonHeard    = "heard"
	reasonSilent   = "silent"
)

// note logs an event of the host.
func (n *Node) note(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), n.log, attrs...)
}

// noteLeader logs who leads the group from now on, by this host's knowledge.
func noteLeader(log *slog.Logger, leader, reason string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("leader", leader), slog.String("reason", reason))
	event.LeaderChanged.Log(context.Background(), log, attrs...)
}
