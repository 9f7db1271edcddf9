package entry

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/wire"
)

// agentHistory records which agents are in the directory and when others left
// it. A takeover uses it to prove that a task never started: every agent that
// was a member at any time since an entry got hold of the job's key has to
// confirm it.
type agentHistory struct {
	members members

	mu     sync.Mutex
	agents map[uint64]*wire.Member
	// nonAgents holds the IDs of members that are known not to be agents.
	nonAgents map[string]bool
	// gone maps the incarnation numbers of former agents to when their absence
	// was noticed.
	gone map[uint64]time.Time
	// applied is the directory that was applied last.
	applied *wire.Directory
}

func newAgentHistory(members members) *agentHistory {
	return &agentHistory{
		members:   members,
		agents:    map[uint64]*wire.Member{},
		nonAgents: map[string]bool{},
		gone:      map[uint64]time.Time{},
	}
}

// loop applies directory changes until ctx ends.
func (h *agentHistory) loop(ctx context.Context) {
	for {
		changed := h.members.Changed()
		h.update()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// update applies the newest directory.
func (h *agentHistory) update() {
	h.mu.Lock()
	defer h.mu.Unlock()
	directory := h.members.Directory()
	if directory == h.applied || directory.GetVersion() == 0 {
		return
	}
	h.applied = directory
	now := time.Now()
	before := h.agents
	h.agents = map[uint64]*wire.Member{}
	for _, member := range directory.GetMembers() {
		incarnation := member.GetIncarnation()
		if member.GetRole() == wire.Role_ROLE_AGENT {
			h.agents[incarnation.GetNumber()] = member
			delete(before, incarnation.GetNumber())
			continue
		}
		h.nonAgents[incarnation.GetId()] = true
	}
	for number := range before {
		h.markGone(number, now)
	}
	for _, incarnation := range directory.GetDead() {
		if !h.nonAgents[incarnation.GetId()] {
			h.markGone(incarnation.GetNumber(), now)
		}
	}
}

func (h *agentHistory) markGone(number uint64, now time.Time) {
	if _, found := h.gone[number]; !found {
		h.gone[number] = now
	}
}

// agentsSince returns the current agents. complete reports whether they include
// every agent that was a member at any time since heldAt, when the job's key was
// held. Agents that have left since may have started tasks of the job.
func (h *agentHistory) agentsSince(heldAt time.Time) (agents []*wire.Member, complete bool) {
	h.update()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, member := range h.agents {
		agents = append(agents, member)
	}
	complete = true
	for _, at := range h.gone {
		complete = complete && at.Before(heldAt.Add(-ledger.MaxClockSkew))
	}
	return agents, complete
}
