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
	// entries are the IDs of members that are known not to be agents.
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
func (c *agentHistory) loop(ctx context.Context) {
	for {
		changed := c.members.Changed()
		c.update()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// update applies the newest directory.
func (c *agentHistory) update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	directory := c.members.Directory()
	if directory == c.read || directory.GetVersion() == 0 {
		return
	}
	c.read = directory
	now := time.Now()
	before := c.agents
	c.agents = map[uint64]*wire.Member{}
	for _, member := range directory.GetMembers() {
		who := member.GetIncarnation()
		if member.GetRole() == wire.Role_ROLE_AGENT {
			c.agents[who.GetNumber()] = member
			delete(before, who.GetNumber())
			continue
		}
		c.entries[who.GetId()] = true
	}
	for number := range before {
		c.markGone(number, now)
	}
	for _, who := range directory.GetDead() {
		if !c.entries[who.GetId()] {
			c.markGone(who.GetNumber(), now)
		}
	}
}

func (c *agentHistory) markGone(number uint64, now time.Time) {
	if _, known := c.gone[number]; !known {
		c.gone[number] = now
	}
}

// since returns the current agents. all is false if another agent may have been
// a member since heldAt, and so may have started tasks of the job.
func (c *agentHistory) since(heldAt time.Time) (agents []*wire.Member, all bool) {
	c.update()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range c.agents {
		agents = append(agents, member)
	}
	all = true
	for _, at := range c.gone {
		all = all && at.Before(heldAt.Add(-ledger.MaxClockSkew))
	}
	return agents, all
}
