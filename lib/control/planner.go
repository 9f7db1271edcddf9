package control

import (
	"cmp"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// viewSize is the number of replicas of each shard of the ledger.
	viewSize = 3
	// maxCopies bounds how many shards one agent copies concurrently.
	maxCopies = 8
	// maxBalancingCopies is the number of copies in progress at which balancing
	// starts no further change.
	maxBalancingCopies = 4
)

// excludedFunc reports whether an agent currently may not join the view of a
// shard.
type excludedFunc func(shard uint32, inc *wire.Incarnation) bool

// agentLoad is the number of shards, primaries and copies that the views
// assign to one agent.
type agentLoad struct {
	member    *wire.Member
	shards    int
	primaries int
	copies    int
}

// planner computes the next change of each view.
type planner struct {
	state      *wire.ControlState
	isExcluded excludedFunc
	agents     []*agentLoad
	byID       map[string]*agentLoad
	// copies is the number of copies in progress.
	copies int
	// available is the number of agents that are not leaving.
	available int
	// vacancies has the shards without members, and from when each may get a primary.
	vacancies map[uint32]vacancy
	now       time.Time
}

func newPlanner(state *wire.ControlState, isExcluded excludedFunc) *planner {
	p := &planner{state: state, isExcluded: isExcluded, byID: map[string]*agentLoad{}}
	for _, member := range state.GetMembers() {
		if member.GetRole() != wire.Role_ROLE_AGENT {
			continue
		}
		l := &agentLoad{member: member}
		p.agents = append(p.agents, l)
		p.byID[member.GetIncarnation().GetId()] = l
		if !member.GetLeaving() {
			p.available++
		}
	}
	for _, view := range state.GetViews() {
		p.addLoad(view, 1)
	}
	return p
}

// nextViews returns the next view of each shard that needs a change. It returns
// none while there is no agent that is not leaving.
func (p *planner) nextViews(shards uint32) []*wire.View {
	if p.available == 0 {
		return nil
	}
	if len(p.state.GetViews()) == 0 {
		return p.initialViews(shards)
	}
	var changed []*wire.View
	for _, view := range p.state.GetViews() {
		nextView := p.nextView(view)
		if nextView == nil {
			continue
		}
		p.addLoad(view, -1)
		p.addLoad(nextView, 1)
		changed = append(changed, nextView)
	}
	if len(changed) > 0 {
		return changed
	}
	return p.balance()
}

// initialViews creates the first view of every shard. The shards are still
// empty, so all members count as complete.
func (p *planner) initialViews(shards uint32) []*wire.View {
	var views []*wire.View
	for shard := range shards {
		view := &wire.View{Shard: shard, Epoch: 1, Primary: p.leastLoaded()}
		for len(completeMembers(view)) < min(viewSize, p.available) {
			view.Backups = append(view.Backups, p.candidate(view))
		}
		p.addLoad(view, 1)
		views = append(views, view)
	}
	return views
}

// nextView returns the next view if the current one needs a change, else nil.
func (p *planner) nextView(view *wire.View) *wire.View {
	if view.GetPrimary() == nil {
		return p.assignPrimary(view)
	}
	if p.isLeaving(view.GetPrimary()) {
		if successor := p.successor(view); successor != nil {
			return withPrimary(view, successor)
		}
	}
	wanted := min(viewSize, p.available)
	notLeaving := p.notLeaving(completeMembers(view))
	if len(completeMembers(view)) > len(notLeaving) && len(notLeaving) >= wanted {
		return withoutMember(view, p.firstLeaving(view))
	}
	if len(notLeaving) > wanted {
		return p.dropSurplus(view)
	}
	if len(notLeaving)+len(p.notLeaving(view.GetJoining())) < wanted {
		if inc := p.candidate(view); inc != nil {
			return withJoining(view, inc)
		}
	}
	return nil
}

// assignPrimary gives a view without members a primary, once the leases of those
// that it had have expired. They may have acknowledged holds until then.
func (p *planner) assignPrimary(view *wire.View) *wire.View {
	expired := p.now.Sub(p.vacancies[view.GetShard()].until)
	if expired < 0 {
		return nil
	}
	view = nextEpoch(view)
	view.LostAtMillis = max(view.GetLostAtMillis(), time.Now().Add(-expired).UnixMilli())
	view.Primary = p.leastLoaded()
	return view
}

// dropSurplus removes one surplus member: the one whose removal leaves the best
// spread, among those the most loaded, and among those preferably a backup. If
// that is the primary, it promotes a backup instead, and the former primary can
// be removed in a later step.
func (p *planner) dropSurplus(view *wire.View) *wire.View {
	all := append(slices.Clone(view.GetBackups()), view.GetPrimary())
	drop := slices.MaxFunc(all, func(a, b *wire.Incarnation) int {
		return cmp.Or(
			cmp.Compare(p.spread(remove(all, a)), p.spread(remove(all, b))),
			cmp.Compare(p.byID[a.GetId()].shards, p.byID[b.GetId()].shards),
		)
	})
	if wire.Same(drop, view.GetPrimary()) {
		return withPrimary(view, p.successor(view))
	}
	return withoutMember(view, drop)
}

// candidate returns the agent that should join a view: preferably in another
// rack and data centre, then the least loaded. It returns nil if there is
// none.
func (p *planner) candidate(view *wire.View) *wire.Incarnation {
	members := allMembers(view)
	var best *wire.Incarnation
	bestSpread := 0
	for _, l := range p.agents {
		inc := l.member.GetIncarnation()
		if l.member.GetLeaving() || contains(members, inc) || l.copies >= maxCopies {
			continue
		}
		if p.isExcluded != nil && p.isExcluded(view.GetShard(), inc) {
			continue
		}
		spread := p.spread(append(slices.Clone(members), inc))
		if best == nil || spread > bestSpread || (spread == bestSpread && l.shards < p.byID[best.GetId()].shards) {
			best, bestSpread = inc, spread
		}
	}
	return best
}

// leastLoaded returns the agent with the fewest shards that is not leaving,
// nil if there is none.
func (p *planner) leastLoaded() *wire.Incarnation {
	var best *agentLoad
	for _, l := range p.agents {
		if !l.member.GetLeaving() && (best == nil || l.shards < best.shards) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.member.GetIncarnation()
}

// successor returns the backup with the fewest primaries that is not leaving,
// nil if there is none.
func (p *planner) successor(view *wire.View) *wire.Incarnation {
	backups := p.notLeaving(view.GetBackups())
	if len(backups) == 0 {
		return nil
	}
	return slices.MinFunc(backups, func(a, b *wire.Incarnation) int {
		return cmp.Compare(p.primaries(a), p.primaries(b))
	})
}

// spread rates how widely members are distributed: the number of racks counts
// first, then the number of data centres.
func (p *planner) spread(members []*wire.Incarnation) int {
	racks := map[string]bool{}
	centres := map[string]bool{}
	for _, inc := range members {
		member := p.byID[inc.GetId()].member
		centres[member.GetDataCentre()] = true
		racks[member.GetDataCentre()+"/"+member.GetRack()] = true
	}
	return len(racks)*(viewSize+2) + len(centres)
}

func (p *planner) addLoad(view *wire.View, n int) {
	for _, inc := range allMembers(view) {
		if l := p.byID[inc.GetId()]; l != nil {
			l.shards += n
		}
	}
	for _, inc := range view.GetJoining() {
		p.copies += n
		if l := p.byID[inc.GetId()]; l != nil {
			l.copies += n
		}
	}
	if l := p.byID[view.GetPrimary().GetId()]; l != nil {
		l.primaries += n
	}
}

func (p *planner) primaries(inc *wire.Incarnation) int { return p.byID[inc.GetId()].primaries }

func (p *planner) isLeaving(inc *wire.Incarnation) bool {
	return p.byID[inc.GetId()].member.GetLeaving()
}

func (p *planner) notLeaving(list []*wire.Incarnation) []*wire.Incarnation {
	return slices.DeleteFunc(slices.Clone(list), p.isLeaving)
}

func (p *planner) firstLeaving(view *wire.View) *wire.Incarnation {
	all := completeMembers(view)
	return all[slices.IndexFunc(all, p.isLeaving)]
}

func sameRack(a, b *wire.Member) bool {
	return a.GetDataCentre() == b.GetDataCentre() && a.GetRack() == b.GetRack()
}
