package control

import (
	"skylarklane.example/lib/wire"
)

// balance returns at most one changed view, which moves load from a member to a
// less loaded agent or improves the view's spread.
func (p *planner) balance() []*wire.View {
	if p.copies >= maxBalancingCopies {
		return nil
	}
	fewestShards := p.byID[p.leastLoaded().GetId()].shards
	for _, view := range p.state.GetViews() {
		if len(view.GetJoining()) > 0 || p.isBalanced(view, fewestShards) {
			continue
		}
		if successor := p.successor(view); successor != nil && p.primaries(view.GetPrimary())-p.primaries(successor) >= 2 {
			return []*wire.View{withPrimary(view, successor)}
		}
		if inc := p.replacement(view); inc != nil {
			return []*wire.View{withJoining(view, inc)}
		}
	}
	return nil
}

// isBalanced reports whether a view needs no change: its members are in
// different racks, none has two shards more than the least loaded agent, and the
// primary does not have two primaries more than a backup. It avoids a search
// over all agents.
func (p *planner) isBalanced(view *wire.View, fewestShards int) bool {
	all := completeMembers(view)
	for i, inc := range all {
		if p.byID[inc.GetId()].shards-fewestShards >= 2 || p.primaries(view.GetPrimary())-p.primaries(inc) >= 2 {
			return false
		}
		for _, other := range all[:i] {
			if sameRack(p.byID[inc.GetId()].member, p.byID[other.GetId()].member) {
				return false
			}
		}
	}
	return true
}

// replacement returns an agent that should replace a member of a view, nil if
// there is none. It improves the view's spread, or keeps it and has at least two
// shards fewer than the member.
func (p *planner) replacement(view *wire.View) *wire.Incarnation {
	inc := p.candidate(view)
	if inc == nil {
		return nil
	}
	all := completeMembers(view)
	before := p.spread(all)
	for _, old := range all {
		after := p.spread(append(remove(all, old), inc))
		lessLoaded := p.byID[old.GetId()].shards-p.byID[inc.GetId()].shards >= 2
		if after > before || (after == before && lessLoaded) {
			return inc
		}
	}
	return nil
}
