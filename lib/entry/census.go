package entry

import (
	"context"
	"sync"
	"time"

	"skylarklane.example/lib/ledger"
	"skylarklane.example/lib/wire"
)

// census remembers which agents there were, and when each was gone at the
// latest. It is needed to prove that a task never started: every agent that
// was a member in the time of a job must say so.
type census struct {
	members members

	mu     sync.Mutex
	agents map[uint64]*wire.Member
	// entries are known not to be agents, by id.
	entries map[string]bool
	gone    map[uint64]time.Time
	read    *wire.Directory
}

func newCensus(members members) *census {
	return &census{
		members: members,
		agents:  map[uint64]*wire.Member{},
		entries: map[string]bool{},
		gone:    map[uint64]time.Time{},
	}
}

// loop follows the directory until ctx ends.
func (c *census) loop(ctx context.Context) {
	for {
		changed := c.members.Changed()
		c.take()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// take counts the members of the newest directory.
func (c *census) take() {
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
		c.leave(number, now)
	}
	for _, who := range directory.GetDead() {
		if !c.entries[who.GetId()] {
			c.leave(who.GetNumber(), now)
		}
	}
}

func (c *census) leave(number uint64, now time.Time) {
	if _, known := c.gone[number]; !known {
		c.gone[number] = now
	}
}

// since returns the agents there are, and whether these are all that a job
// which was held at that time can have started tasks at.
func (c *census) since(heldAt time.Time) (agents []*wire.Member, all bool) {
	c.take()
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
