package entry

import (
	"context"
	"net/http"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/slot"
	"skylarklane.example/lib/wire"
)

// reconcileDelay is the time between a suspected token loss and the comparison
// with the agent's records. Before slot.MaxTransitTime the agent would take a
// lost token for one in transit.
const reconcileDelay = slot.MaxTransitTime + renewInterval

// incarnation identifies a process incarnation; it is comparable, for use as a
// map key.
type incarnation struct {
	id     string
	number uint64
}

func incarnationOf(who *wire.Incarnation) incarnation {
	return incarnation{id: who.GetId(), number: who.GetNumber()}
}

// agent is the entry's state for one agent incarnation.
type agent struct {
	incarnation *wire.Incarnation
	client      wire.Agent
	// member and the fields below are guarded by the dispatcher's mutex.
	member *wire.Member
	// alive ends when the incarnation leaves the directory.
	alive       context.Context
	cancelAlive context.CancelFunc
	// gone is set when alive ends.
	gone bool
	// evacuated is set while the agent's data centre is evacuated: it gets no
	// tasks, and those that run there go on.
	evacuated bool

	// sequence is that of the latest offer; capacities are from that offer.
	sequence   uint64
	capacities []*wire.Capacity
	servers    map[string]*server
	// tokens are all tokens of this agent that the entry holds, idle or in
	// use, by number.
	tokens map[uint64]*held
	// reconcile requests a Claim call at the next renewal, because tokens may
	// have been lost or withdrawn.
	reconcile bool
	// reconcileAt is when to make a further Claim call: by then the agent no
	// longer takes a lost token for one in transit. Zero if none is needed.
	reconcileAt time.Time
	// suspectUntil is when starts may go to the agent again after a failure to
	// reach it.
	suspectUntil time.Time
}

// server is the entry's state for one backend server.
type server struct {
	name         string
	agent        *agent
	serviceState *serviceState
	speed        placement.Average
	health       placement.ServerHealth
	// running are the tasks of this entry that run there.
	running   map[*task]struct{}
	succeeded uint64
	failed    uint64
}

// peer is another entry.
type peer struct {
	member *wire.Member
	client wire.Entry
}

// fleet holds a client for each agent and entry in the directory, by
// incarnation.
type fleet struct {
	version uint64
	agents  map[incarnation]*agent
	peers   map[incarnation]*peer
}

func newFleet() *fleet {
	return &fleet{agents: map[incarnation]*agent{}, peers: map[incarnation]*peer{}}
}

// syncDirectory applies a directory and returns the agents that are no longer
// in it.
func (f *fleet) syncDirectory(directory *wire.Directory, self *wire.Incarnation, client *http.Client) []*agent {
	f.version = directory.GetVersion()
	present := map[incarnation]bool{}
	for _, member := range directory.GetMembers() {
		id := incarnationOf(member.GetIncarnation())
		present[id] = !member.GetLeaving()
		switch member.GetRole() {
		case wire.Role_ROLE_AGENT:
			f.addAgent(id, member, client)
			f.agents[id].setEvacuated(directory.IsEvacuated(member.GetDataCentre()))
		case wire.Role_ROLE_ENTRY:
			if id != incarnationOf(self) {
				f.addPeer(id, member, client)
			}
		}
	}
	for id := range f.peers {
		if !present[id] {
			delete(f.peers, id)
			f.scheduleReconciliation(time.Now())
		}
	}
	return f.removeAgents(directory)
}

// scheduleReconciliation schedules a Claim call to each agent after a peer has
// left, because tokens that the peer had borrowed may be lost. The delay
// lets those in transit arrive.
func (f *fleet) scheduleReconciliation(now time.Time) {
	for _, a := range f.agents {
		a.reconcileAt = now.Add(reconcileDelay)
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
		a.alive, a.cancelAlive = context.WithCancel(context.Background())
		f.agents[id] = a
	}
	a.member = member
}

// setEvacuated records whether the agent's data centre is evacuated. After the
// evacuation the tokens are reconciled: an agent that had not learned of it still
// reserves the slots of the tokens that were discarded here.
func (a *agent) setEvacuated(evacuated bool) {
	if a.evacuated && !evacuated {
		a.reconcile = true
	}
	a.evacuated = evacuated
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
		a.cancelAlive()
		gone = append(gone, a)
	}
	return gone
}

// serverOf returns the state of a token's backend server, which it creates if
// needed.
func (a *agent) serverOf(token *wire.Token, svc *serviceState) *server {
	s := a.servers[token.GetBackendServer()]
	if s == nil || s.serviceState != svc {
		s = &server{name: token.GetBackendServer(), agent: a, serviceState: svc, running: map[*task]struct{}{}}
		a.servers[token.GetBackendServer()] = s
	}
	return s
}

// available reports whether the server may get tasks other than trial tasks.
func (s *server) available(now time.Time) bool {
	return !s.health.Ejected() && !now.Before(s.agent.suspectUntil)
}

// mayTry reports whether a server whose tokens are suspended may get a task: it
// is healthy or due for a trial, and its agent is not suspect.
func (s *server) mayTry(now time.Time) bool {
	return s.health.MayTry(now) && !now.Before(s.agent.suspectUntil)
}
