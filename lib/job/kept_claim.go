package job

import (
	"context"

	"skylarklane.example/lib/wire"
)

// keptClaim is a claim that a member has made for an entry, which goes on until ctx ends.
type keptClaim struct {
	ctx context.Context
	by  *wire.Member
	// owners are those that have it.
	owners []*wire.Member
}

// keptKey identifies a kept claim.
type keptKey struct {
	id    string
	entry memberKey
}

// keep has a claim repeated where the owners of its id change, until ctx ends.
func (a *Asker) keep(ctx context.Context, id string, by *wire.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept[keptKey{id, keyOfMember(by)}] = &keptClaim{ctx: ctx, by: by, owners: a.view.owners(hashOf(id), ownersPerID)}
}

// repeatKept repeats the claims whose owners have changed, and forgets those that have
// ended.
func (a *Asker) repeatKept() {
	for _, due := range a.dueKept() {
		a.calls.Go(func() { a.repeat(due) })
	}
}

// repeat claims jobs again. Nobody waits for the answers, so that the member does not
// count as silent if there is none.
func (a *Asker) repeat(due *dueClaims) {
	if a.isSelf(due.owner) {
		for _, id := range due.ids {
			a.grantHere(id, due.by, nil)
		}
		return
	}
	p := a.peer(due.owner)
	if a.isSilent(p) {
		return
	}
	ctx, cancel := context.WithTimeout(a.ctx, acquireTimeout)
	defer cancel()
	_, err := p.registry.AcquireJobs(ctx, &wire.AcquireJobsRequest{Asked: p.member.GetIncarnation(), Entry: due.by, Keys: due.ids})
	if err != nil {
		a.asked.Inc("notRepeated")
		a.log.Debug("claims were not repeated at an owner", "member", due.owner.GetIncarnation().GetId(), "claims", len(due.ids), "error", err)
	}
}

// dueKept returns the kept claims that owners don't have yet, by owner and entry, and
// records that they do.
func (a *Asker) dueKept() map[[2]memberKey]*dueClaims {
	a.mu.Lock()
	defer a.mu.Unlock()
	due := map[[2]memberKey]*dueClaims{}
	for key, c := range a.kept {
		if c.ctx.Err() != nil {
			delete(a.kept, key)
			continue
		}
		owners := a.view.owners(hashOf(key.id), ownersPerID)
		for _, owner := range owners {
			if contains(c.owners, owner) {
				continue
			}
			at := [2]memberKey{keyOfMember(owner), key.entry}
			if due[at] == nil {
				due[at] = &dueClaims{owner: owner, by: c.by}
			}
			due[at].ids = append(due[at].ids, key.id)
		}
		c.owners = owners
	}
	return due
}
