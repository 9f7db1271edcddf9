package control

import (
	"skylarklane.example/lib/wire"
)

// balance returns one view whose members are busier than others need be.
func (p *plan) balance() []*wire.View {
	if p.copies >= maxBalancing {
		return nil
	}
	least := p.byID[p.leastLoaded().GetId()].shards
	for _, view := range p.state.GetViews() {
		if len(view.GetJoining()) > 0 || p.wellPlaced(view, least) {
			continue
		}
		if heir := p.heir(view); heir != nil && p.primaries(view.GetPrimary())-p.primaries(heir) >= 2 {
			return []*wire.View{withPrimary(view, heir)}
		}
		if who := p.relief(view); who != nil {
			return []*wire.View{withJoining(view, who)}
		}
	}
	return nil
}

// wellPlaced tells, without a look at every agent, that a view needs no change.
func (p *plan) wellPlaced(view *wire.View, least int) bool {
	all := complete(view)
	for i, who := range all {
		if p.byID[who.GetId()].shards-least >= 2 || p.primaries(view.GetPrimary())-p.primaries(who) >= 2 {
			return false
		}
		for _, other := range all[:i] {
			if sameRack(p.byID[who.GetId()].member, p.byID[other.GetId()].member) {
				return false
			}
		}
	}
	return true
}

// relief returns an agent that should take a member's place: it has at least
// two shards fewer, or makes the view spread wider.
func (p *plan) relief(view *wire.View) *wire.Incarnation {
	who := p.candidate(view)
	if who == nil {
		return nil
	}
	all := complete(view)
	before := p.spread(all)
	for _, old := range all {
		after := p.spread(append(remove(all, old), who))
		lighter := p.byID[old.GetId()].shards-p.byID[who.GetId()].shards >= 2
		if after > before || (after == before && lighter) {
			return who
		}
	}
	return nil
}
