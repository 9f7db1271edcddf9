package quorum

import (
	"context"
	"log/slog"

	"skylarklane.example/lib/event"
)

// Reasons for a change of the leader.
const (
	reasonElected  = "elected"
	reasonNoQuorum = "noQuorum"
	reasonDeposed  = "deposed"
	reasonHeard    = "heard"
	reasonSilent   = "silent"
)

// logEvent logs an event of the host.
func (n *Node) logEvent(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), n.log, attrs...)
}

// logLeaderChange logs the leader that this host now knows of.
func logLeaderChange(log *slog.Logger, leader, reason string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("leader", leader), slog.String("reason", reason))
	event.LeaderChanged.Log(context.Background(), log, attrs...)
}
