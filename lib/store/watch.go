package store

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// watch is a leader's memory of when owners died and jobs ended, by its own
// clock. A new leader starts with none, so that all waits begin anew.
type watch struct {
	term uint64
	// dead are owners of jobs that are no members, since when this leader knows.
	dead map[owner]time.Time
	// marks say how many jobs had ended when, oldest first.
	marks []mark
}

type mark struct {
	ended uint64
	at    time.Time
}

// observe takes in what has changed, and returns how many of all jobs that
// ever ended may be forgotten.
func (w *watch) observe(m *Machine, members Members, term uint64, now time.Time) uint64 {
	if w.term != term || w.dead == nil {
		*w = watch{term: term, dead: map[owner]time.Time{}}
	}
	maps.DeleteFunc(w.dead, func(o owner, _ time.Time) bool { return m.owned[o] == nil })
	for o := range m.owned {
		if _, known := w.dead[o]; !known && !members.IsMember(o.incarnation()) {
			w.dead[o] = now
		}
	}
	total := m.forgotten + uint64(len(m.ended))
	if n := len(w.marks); n == 0 || w.marks[n-1].ended != total {
		w.marks = append(w.marks, mark{ended: total, at: now})
	}
	var until uint64
	for len(w.marks) > 0 && now.Sub(w.marks[0].at) >= StatusKept {
		until = w.marks[0].ended
		if len(w.marks) == 1 {
			break
		}
		w.marks = w.marks[1:]
	}
	return until
}

// claimable lists jobs of owners that have been dead for long enough.
func (w *watch) claimable(m *Machine, limit int, now time.Time) []*wire.HeldJob {
	var found []*wire.HeldJob
	room := maxClaimBytes
	for _, o := range slices.SortedFunc(maps.Keys(w.dead), compareOwners) {
		if now.Sub(w.dead[o]) < ClaimWait {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(m.owned[o])) {
			r := m.jobs[id]
			room -= r.bytes()
			if len(found) >= limit || room < 0 && len(found) > 0 {
				return found
			}
			found = append(found, &wire.HeldJob{Id: id, Epoch: r.epoch})
		}
	}
	return found
}

func (o owner) incarnation() *wire.Incarnation {
	return &wire.Incarnation{Id: o.id, Number: o.number}
}

func compareOwners(a, b owner) int {
	return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.number, b.number))
}
