package entry

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/wire"
)

// agentHistory tracks the agents in the directory and when each one left it. A
// takeover uses it to prove that a task never started: every agent that was a
// member at any time since the job was held has to confirm it.
type agentHistory struct {
	members members

	mu     sync.Mutex
	agents map[uint64]*wire.Member
	// entries holds the IDs of members that are known not to be agents.
	entries map[string]bool
	gone    map[uint64]time.Time
	read    *wire.Directory
}

func newAgentHistory(members members) *agentHistory {
	return &agentHistory{
		members: members,
		agents:  map[uint64]*wire.Member{},
		entries: map[string]bool{},
		gone:    map[uint64]time.Time{},
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
	if directory == h.read || directory.GetVersion() == 0 {
		return
	}
	h.read = directory
	now := time.Now()
	before := h.agents
	h.agents = map[uint64]*wire.Member{}
	for _, member := range directory.GetMembers() {
		who := member.GetIncarnation()
		if member.GetRole() == wire.Role_ROLE_AGENT {
			h.agents[who.GetNumber()] = member
			delete(before, who.GetNumber())
			continue
		}
		h.entries[who.GetId()] = true
	}
	for number := range before {
		h.markGone(number, now)
	}
	for _, who := range directory.GetDead() {
		if !h.entries[who.GetId()] {
			h.markGone(who.GetNumber(), now)
		}
	}
}

func (h *agentHistory) markGone(number uint64, now time.Time) {
	if _, known := h.gone[number]; !known {
		h.gone[number] = now
	}
}

// since returns the current agents. all reports whether they include every agent
// that was a member at any time since heldAt; any other may have started tasks
// of the job.
func (h *agentHistory) since(heldAt time.Time) (agents []*wire.Member, all bool) {
	h.update()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, member := range h.agents {
		agents = append(agents, member)
	}
	all = true
	for _, at := range h.gone {
		all = all && at.Before(heldAt.Add(-ledger.MaxClockSkew))
	}
	return agents, all
}
