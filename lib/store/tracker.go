package store

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// tracker records when owners died and when jobs ended, by the leader's own
// clock. A new leader starts with an empty tracker, so all delays start over.
type tracker struct {
	term uint64
	// deadSince holds the owners of jobs that are no longer members, with the
	// time at which this leader first saw that.
	deadSince map[owner]time.Time
	// endCounts are samples of the total number of ended jobs, oldest first.
	endCounts []endCount
}

type endCount struct {
	ended uint64
	at    time.Time
}

// observe updates the tracker from the current state. It returns how many of
// all jobs that ever ended are past their retention time.
func (t *tracker) observe(m *Machine, members Members, term uint64, now time.Time) uint64 {
	if t.term != term || t.deadSince == nil {
		*t = tracker{term: term, deadSince: map[owner]time.Time{}}
	}
	maps.DeleteFunc(t.deadSince, func(o owner, _ time.Time) bool { return m.activeByOwner[o] == nil })
	for o := range m.activeByOwner {
		if _, known := t.deadSince[o]; !known && !members.IsMember(o.incarnation()) {
			t.deadSince[o] = now
		}
	}
	total := m.forgottenCount + uint64(len(m.ended))
	if n := len(t.endCounts); n == 0 || t.endCounts[n-1].ended != total {
		t.endCounts = append(t.endCounts, endCount{ended: total, at: now})
	}
	var expired uint64
	for len(t.endCounts) > 0 && now.Sub(t.endCounts[0].at) >= StatusRetention {
		expired = t.endCounts[0].ended
		if len(t.endCounts) == 1 {
			break
		}
		t.endCounts = t.endCounts[1:]
	}
	return expired
}

// claimable lists jobs of owners that have been dead for at least ClaimDelay.
func (t *tracker) claimable(m *Machine, limit int, now time.Time) []*wire.HeldJob {
	var claims []*wire.HeldJob
	budget := maxClaimBytes
	for _, o := range slices.SortedFunc(maps.Keys(t.deadSince), compareOwners) {
		if now.Sub(t.deadSince[o]) < ClaimDelay {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(m.activeByOwner[o])) {
			r := m.jobs[id]
			budget -= r.bytes()
			if len(claims) >= limit || budget < 0 && len(claims) > 0 {
				return claims
			}
			claims = append(claims, &wire.HeldJob{Id: id, Epoch: r.epoch})
		}
	}
	return claims
}

func (o owner) incarnation() *wire.Incarnation {
	return &wire.Incarnation{Id: o.id, Number: o.number}
}

func compareOwners(a, b owner) int {
	return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.number, b.number))
}
