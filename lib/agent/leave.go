package agent

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

// handoverTimeout limits how long a leaving agent waits for other agents to
// take over its shards.
const handoverTimeout = 15 * time.Second

// Leave takes the worker out of service: it accepts no new work, waits for the
// tasks in flight until ctx ends, and then waits up to handoverTimeout for other
// agents to take over its shards of the ledger.
func (a *Agent) Leave(ctx context.Context) {
	a.log.Info("Leaving.", "tasks", a.gate.InFlight())
	a.registry.Leave()
	a.follower.Leave(ctx)
	a.gate.Close()
	if err := a.gate.Wait(ctx); err != nil {
		a.log.Warn("Stopped draining with tasks still in flight.", "error", err)
	}
	a.waitForHandover(ctx)
}

// waitForHandover waits until this agent is neither primary nor backup of any
// shard.
func (a *Agent) waitForHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for {
		changed := a.follower.Changed()
		directory := a.follower.Directory()
		self := a.follower.Member().GetIncarnation()
		if !servesShard(directory, self) {
			a.log.Info("All shards have been handed over.")
			return
		}
		if !hasSuccessor(directory, self) {
			a.log.Warn("No other agent is left to take over the shards.")
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			a.log.Warn("Timed out before all shards were handed over.")
			return
		}
	}
}

// servesShard reports whether an agent is primary or backup in any view.
func servesShard(directory *wire.Directory, self *wire.Incarnation) bool {
	for _, view := range directory.GetViews() {
		if wire.Same(view.GetPrimary(), self) {
			return true
		}
		for _, backup := range view.GetBackups() {
			if wire.Same(backup, self) {
				return true
			}
		}
	}
	return false
}

// hasSuccessor reports whether another agent remains that could take over
// shards.
func hasSuccessor(directory *wire.Directory, self *wire.Incarnation) bool {
	for _, member := range directory.GetMembers() {
		if member.GetRole() == wire.Role_ROLE_AGENT && !member.GetLeaving() && !wire.Same(member.GetIncarnation(), self) {
			return true
		}
	}
	return false
}
