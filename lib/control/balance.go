package control

import (
	"skylarklane.example/lib/wire"
)

// balance returns at most one changed view, which moves load from a busy
// member to a less busy agent or widens the view's spread.
func (p *planner) balance() []*wire.View {
	if p.copies >= maxBalancingCopies {
		return nil
	}
	least := p.byID[p.leastLoaded().GetId()].shards
	for _, view := range p.state.GetViews() {
		if len(view.GetJoining()) > 0 || p.isBalanced(view, least) {
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

// isBalanced reports whether a view needs no change, without looking at every
// agent.
func (p *planner) isBalanced(view *wire.View, least int) bool {
	all := completeMembers(view)
	for i, inc := range all {
		if p.byID[inc.GetId()].shards-least >= 2 || p.primaries(view.GetPrimary())-p.primaries(inc) >= 2 {
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

// replacement returns an agent that should replace a member: it has at least
// two shards fewer, or widens the view's spread.
func (p *planner) replacement(view *wire.View) *wire.Incarnation {
	inc := p.candidate(view)
	if inc == nil {
		return nil
	}
	all := completeMembers(view)
	before := p.spread(all)
	for _, old := range all {
		after := p.spread(append(remove(all, old), inc))
		lighter := p.byID[old.GetId()].shards-p.byID[inc.GetId()].shards >= 2
		if after > before || (after == before && lighter) {
			return inc
		}
	}
	return nil
}
