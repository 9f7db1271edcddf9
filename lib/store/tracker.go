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
func (w *tracker) observe(m *Machine, members Members, term uint64, now time.Time) uint64 {
	if w.term != term || w.deadSince == nil {
		*w = tracker{term: term, deadSince: map[owner]time.Time{}}
	}
	maps.DeleteFunc(w.deadSince, func(o owner, _ time.Time) bool { return m.activeByOwner[o] == nil })
	for o := range m.activeByOwner {
		if _, known := w.deadSince[o]; !known && !members.IsMember(o.incarnation()) {
			w.deadSince[o] = now
		}
	}
	total := m.forgottenCount + uint64(len(m.ended))
	if n := len(w.endCounts); n == 0 || w.endCounts[n-1].ended != total {
		w.endCounts = append(w.endCounts, endCount{ended: total, at: now})
	}
	var until uint64
	for len(w.endCounts) > 0 && now.Sub(w.endCounts[0].at) >= StatusRetention {
		until = w.endCounts[0].ended
		if len(w.endCounts) == 1 {
			break
		}
		w.endCounts = w.endCounts[1:]
	}
	return until
}

// claimable lists jobs of owners that have been dead for at least ClaimDelay.
func (w *tracker) claimable(m *Machine, limit int, now time.Time) []*wire.HeldJob {
	var claims []*wire.HeldJob
	budget := maxClaimBytes
	for _, o := range slices.SortedFunc(maps.Keys(w.deadSince), compareOwners) {
		if now.Sub(w.deadSince[o]) < ClaimDelay {
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
