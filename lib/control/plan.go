package control

import (
	"cmp"
	"slices"

	"skylarklane.example/lib/wire"
)

const (
	// viewSize is how many agents keep each shard of the ledger.
	viewSize = 3
	// maxCopies bounds how many shards one agent copies at a time.
	maxCopies = 8
	// maxBalancing bounds how many shards are copied at a time for the sake of
	// balance alone.
	maxBalancing = 4
)

// avoided tells whether an agent must not join the view of a shard for now.
type avoided func(shard uint32, who *wire.Incarnation) bool

// load is what the views ask of one agent.
type load struct {
	member    *wire.Member
	shards    int
	primaries int
	copies    int
}

// plan finds the next step of each view.
type plan struct {
	state  *wire.ControlState
	avoid  avoided
	agents []*load
	byID   map[string]*load
	// copies is the number of copies under way.
	copies int
	// stay is the number of agents that are not leaving.
	stay int
}

func newPlan(state *wire.ControlState, avoid avoided) *plan {
	p := &plan{state: state, avoid: avoid, byID: map[string]*load{}}
	for _, member := range state.GetMembers() {
		if member.GetRole() != wire.Role_ROLE_AGENT {
			continue
		}
		l := &load{member: member}
		p.agents = append(p.agents, l)
		p.byID[member.GetIncarnation().GetId()] = l
		if !member.GetLeaving() {
			p.stay++
		}
	}
	for _, view := range state.GetViews() {
		p.count(view, 1)
	}
	return p
}

// steps returns the views that change next, each by one step. There are none
// before the first agent.
func (p *plan) steps(shards uint32) []*wire.View {
	if p.stay == 0 {
		return nil
	}
	if len(p.state.GetViews()) == 0 {
		return p.found(shards)
	}
	var changed []*wire.View
	for _, view := range p.state.GetViews() {
		step := p.step(view)
		if step == nil {
			continue
		}
		p.count(view, -1)
		p.count(step, 1)
		changed = append(changed, step)
	}
	if len(changed) > 0 {
		return changed
	}
	return p.balance()
}

// found makes the first views: no shard holds anything yet, so all members
// are complete.
func (p *plan) found(shards uint32) []*wire.View {
	var views []*wire.View
	for shard := range shards {
		view := &wire.View{Shard: shard, Epoch: 1, Primary: p.leastLoaded()}
		for len(complete(view)) < min(viewSize, p.stay) {
			view.Backups = append(view.Backups, p.candidate(view))
		}
		p.count(view, 1)
		views = append(views, view)
	}
	return views
}

// step returns the next view where something is wrong with it, else nil.
func (p *plan) step(view *wire.View) *wire.View {
	if view.GetPrimary() == nil {
		return p.adopt(view)
	}
	if p.leaving(view.GetPrimary()) {
		if heir := p.heir(view); heir != nil {
			return withPrimary(view, heir)
		}
	}
	wanted := min(viewSize, p.stay)
	staying := p.staying(complete(view))
	if len(complete(view)) > len(staying) && len(staying) >= wanted {
		return without(view, p.firstLeaving(view))
	}
	if len(staying) > wanted {
		return p.shed(view)
	}
	if len(staying)+len(p.staying(view.GetJoining())) < wanted {
		if who := p.candidate(view); who != nil {
			return withJoining(view, who)
		}
	}
	return nil
}

// adopt gives a view without members a primary.
func (p *plan) adopt(view *wire.View) *wire.View {
	view = next(view)
	view.Primary = p.leastLoaded()
	return view
}

// shed drops the member that is missed least: the one whose rack is taken
// twice, else the busiest, a backup before the primary. A primary first hands
// over to a backup.
func (p *plan) shed(view *wire.View) *wire.View {
	all := append(slices.Clone(view.GetBackups()), view.GetPrimary())
	drop := slices.MaxFunc(all, func(a, b *wire.Incarnation) int {
		return cmp.Or(
			cmp.Compare(p.spread(remove(all, a)), p.spread(remove(all, b))),
			cmp.Compare(p.byID[a.GetId()].shards, p.byID[b.GetId()].shards),
		)
	})
	if wire.Same(drop, view.GetPrimary()) {
		return withPrimary(view, p.heir(view))
	}
	return without(view, drop)
}

// candidate returns the agent that should join a view: in another rack and
// data centre where possible, then the least loaded. It returns nil where
// there is none.
func (p *plan) candidate(view *wire.View) *wire.Incarnation {
	members := everyone(view)
	var best *wire.Incarnation
	bestSpread := 0
	for _, l := range p.agents {
		who := l.member.GetIncarnation()
		if l.member.GetLeaving() || has(members, who) || l.copies >= maxCopies {
			continue
		}
		if p.avoid != nil && p.avoid(view.GetShard(), who) {
			continue
		}
		spread := p.spread(append(slices.Clone(members), who))
		if best == nil || spread > bestSpread || (spread == bestSpread && l.shards < p.byID[best.GetId()].shards) {
			best, bestSpread = who, spread
		}
	}
	return best
}

// leastLoaded returns the agent with the fewest shards that is not leaving,
// nil where there is none.
func (p *plan) leastLoaded() *wire.Incarnation {
	var best *load
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

// heir returns the backup with the fewest primaries that is not leaving.
func (p *plan) heir(view *wire.View) *wire.Incarnation {
	backups := p.staying(view.GetBackups())
	if len(backups) == 0 {
		return nil
	}
	return slices.MinFunc(backups, func(a, b *wire.Incarnation) int {
		return cmp.Compare(p.primaries(a), p.primaries(b))
	})
}

// spread rates how far members lie apart: racks count first, then data
// centres.
func (p *plan) spread(members []*wire.Incarnation) int {
	racks := map[string]bool{}
	centres := map[string]bool{}
	for _, who := range members {
		member := p.byID[who.GetId()].member
		centres[member.GetDataCentre()] = true
		racks[member.GetDataCentre()+"/"+member.GetRack()] = true
	}
	return len(racks)*(viewSize+2) + len(centres)
}

func (p *plan) count(view *wire.View, n int) {
	for _, who := range everyone(view) {
		if l := p.byID[who.GetId()]; l != nil {
			l.shards += n
		}
	}
	for _, who := range view.GetJoining() {
		p.copies += n
		if l := p.byID[who.GetId()]; l != nil {
			l.copies += n
		}
	}
	if l := p.byID[view.GetPrimary().GetId()]; l != nil {
		l.primaries += n
	}
}

func (p *plan) primaries(who *wire.Incarnation) int { return p.byID[who.GetId()].primaries }

func (p *plan) leaving(who *wire.Incarnation) bool {
	return p.byID[who.GetId()].member.GetLeaving()
}

func (p *plan) staying(list []*wire.Incarnation) []*wire.Incarnation {
	return slices.DeleteFunc(slices.Clone(list), p.leaving)
}

func (p *plan) firstLeaving(view *wire.View) *wire.Incarnation {
	all := complete(view)
	return all[slices.IndexFunc(all, p.leaving)]
}

func sameRack(a, b *wire.Member) bool {
	return a.GetDataCentre() == b.GetDataCentre() && a.GetRack() == b.GetRack()
}
