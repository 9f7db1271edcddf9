package agent

import (
	"context"
	"time"

	"skylarklane.example/lib/wire"
)

// handoverTimeout bounds how long a leaving agent waits for its shards to be
// taken over.
const handoverTimeout = 15 * time.Second

// Leave withdraws the worker: no new work, tasks in flight finish, and the
// shards of the ledger go to other agents. It returns once that is done, or
// ctx or the times allowed for it end.
func (a *Agent) Leave(ctx context.Context) {
	a.log.Info("Leaving.", "tasks", a.gate.Inside())
	a.registry.Leave()
	a.follower.Leave(ctx)
	a.gate.Close()
	if err := a.gate.Wait(ctx); err != nil {
		a.log.Warn("Tasks are still in flight.", "error", err)
	}
	a.handOver(ctx)
}

// handOver waits until no view names this agent.
func (a *Agent) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for {
		changed := a.follower.Changed()
		directory := a.follower.Directory()
		self := a.follower.Member().GetIncarnation()
		if !named(directory, self) {
			a.log.Info("All shards are handed over.")
			return
		}
		if !heirs(directory, self) {
			a.log.Warn("No agent is left to take the shards.")
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			a.log.Warn("Some shards were not handed over in time.")
			return
		}
	}
}

// named tells whether a view still counts on an agent.
func named(directory *wire.Directory, who *wire.Incarnation) bool {
	for _, view := range directory.GetViews() {
		if wire.Same(view.GetPrimary(), who) {
			return true
		}
		for _, backup := range view.GetBackups() {
			if wire.Same(backup, who) {
				return true
			}
		}
	}
	return false
}

// heirs tells whether another agent stays that could take shards.
func heirs(directory *wire.Directory, who *wire.Incarnation) bool {
	for _, member := range directory.GetMembers() {
		if member.GetRole() == wire.Role_ROLE_AGENT && !member.GetLeaving() && !wire.Same(member.GetIncarnation(), who) {
			return true
		}
	}
	return false
}
