package quorum

import (
	"context"
	"log/slog"

	"skylarklane.example/lib/event"
)

// Reasons for a change of the leader.
const (
	// reasonElected means that this host won an election.
	reasonElected = "elected"
	// reasonNoQuorum means that this leader could not reach a quorum.
	reasonNoQuorum = "noQuorum"
	// reasonDeposed means that this host stopped being the leader.
	reasonDeposed = "deposed"
	// reasonHeard means that a message from another leader arrived.
	reasonHeard = "heard"
	// reasonSilent means that no message from the leader has arrived for too
	// long.
	reasonSilent = "silent"
)

// logEvent logs an event of the host.
func (n *Node) logEvent(e *event.Event, attrs ...slog.Attr) {
	e.Log(context.Background(), n.log, attrs...)
}

// logLeaderChange logs the leader that this host now knows, empty if there is
// none.
func logLeaderChange(log *slog.Logger, leader, reason string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.String("leader", leader), slog.String("reason", reason))
	event.LeaderChanged.Log(context.Background(), log, attrs...)
}
