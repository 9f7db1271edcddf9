package entry

import (
	"context"
	"net/http"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/slot"
	"skylarklane.example/lib/wire"
)

// recheckDelay is how long after a doubt tokens are compared with the agent's
// book: it takes younger ones to be on their way.
const recheckDelay = slot.SettleTime + keepInterval

// incarnation names a process incarnation as a map key.
type incarnation struct {
	id     string
	number uint64
}

func incarnationOf(who *wire.Incarnation) incarnation {
	return incarnation{id: who.GetId(), number: who.GetNumber()}
}

// agent is what the entry knows of one agent incarnation.
type agent struct {
	incarnation *wire.Incarnation
	client      wire.Agent
	// member is guarded by the dispatcher's lock, as what follows.
	member *wire.Member
	// alive ends when the directory no longer has the incarnation.
	alive context.Context
	dead  context.CancelFunc
	// gone is set with the end of alive.
	gone bool

	sequence   uint64
	capacities []*wire.Capacity
	servers    map[string]*server
	// tokens are all that this entry has from the agent, in use or not.
	tokens map[uint64]*held
	// doubt is set where a message that may have brought a token was lost.
	doubt bool
	// recheckAt is when the agent can tell a lost token from one on its way;
	// zero where none may be lost.
	recheckAt time.Time
	// suspectUntil keeps starts away after a failed dial.
	suspectUntil time.Time
}

// server is what the entry has learned of one backend server.
type server struct {
	name   string
	agent  *agent
	desk   *desk
	speed  placement.Average
	health placement.Health
	// running tasks of this entry.
	running map[*task]struct{}
	runs    uint64
	failed  uint64
}

// peer is another entry.
type peer struct {
	member *wire.Member
	client wire.Entry
}

// fleet is the directory with a client for each member, found by incarnation.
type fleet struct {
	version uint64
	agents  map[incarnation]*agent
	peers   map[incarnation]*peer
}

func newFleet() *fleet {
	return &fleet{agents: map[incarnation]*agent{}, peers: map[incarnation]*peer{}}
}

// follow takes a new directory in and returns the agents that are gone.
func (f *fleet) follow(directory *wire.Directory, self *wire.Incarnation, client *http.Client) []*agent {
	f.version = directory.GetVersion()
	present := map[incarnation]bool{}
	for _, member := range directory.GetMembers() {
		id := incarnationOf(member.GetIncarnation())
		present[id] = !member.GetLeaving()
		switch member.GetRole() {
		case wire.Role_ROLE_AGENT:
			f.addAgent(id, member, client)
		case wire.Role_ROLE_ENTRY:
			if id != incarnationOf(self) {
				f.addPeer(id, member, client)
			}
		}
	}
	for id := range f.peers {
		if !present[id] {
			delete(f.peers, id)
			f.recheck(time.Now())
		}
	}
	return f.removeAgents(directory)
}

// recheck has the tokens of all agents compared once those that an entry that
// is gone had borrowed are settled.
func (f *fleet) recheck(now time.Time) {
	for _, a := range f.agents {
		a.recheckAt = now.Add(recheckDelay)
	}
}

func (f *fleet) addAgent(id incarnation, member *wire.Member, client *http.Client) {
	a := f.agents[id]
	if a == nil {
		a = &agent{
			incarnation: member.GetIncarnation(),
			client:      wire.NewAgentProtobufClient("http://"+member.GetAddress(), client),
			servers:     map[string]*server{},
			tokens:      map[uint64]*held{},
		}
		a.alive, a.dead = context.WithCancel(context.Background())
		f.agents[id] = a
	}
	a.member = member
}

func (f *fleet) addPeer(id incarnation, member *wire.Member, client *http.Client) {
	if old := f.peers[id]; old != nil && old.member.GetAddress() == member.GetAddress() {
		return
	}
	f.peers[id] = &peer{member: member, client: wire.NewEntryProtobufClient("http://"+member.GetAddress(), client)}
}

func (f *fleet) removeAgents(directory *wire.Directory) []*agent {
	present := map[incarnation]bool{}
	for _, member := range directory.GetMembers() {
		present[incarnationOf(member.GetIncarnation())] = true
	}
	var gone []*agent
	for id, a := range f.agents {
		if present[id] {
			continue
		}
		delete(f.agents, id)
		a.gone = true
		a.dead()
		gone = append(gone, a)
	}
	return gone
}

// serverOf returns what is known of a token's backend server.
func (a *agent) serverOf(token *wire.Token, d *desk) *server {
	s := a.servers[token.GetBackendServer()]
	if s == nil || s.desk != d {
		s = &server{name: token.GetBackendServer(), agent: a, desk: d, running: map[*task]struct{}{}}
		a.servers[token.GetBackendServer()] = s
	}
	return s
}

// works tells whether the server gets work as a matter of course.
func (s *server) works(now time.Time) bool {
	return !s.health.Ejected() && !now.Before(s.agent.suspectUntil)
}

// mayTry tells whether a server that was set aside may be tried.
func (s *server) mayTry(now time.Time) bool {
	return s.health.MayTry(now) && !now.Before(s.agent.suspectUntil)
}
