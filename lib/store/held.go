package store

import (
	"maps"
	"slices"

	"skylarklane.example/lib/wire"
)

// maxClaimBytes bounds the jobs of one answer, roughly.
const maxClaimBytes = 1 << 20

// review tells an owner what has become of the jobs that it holds, and gives
// it those that it has without knowing: the answer that gave them was lost.
func (m *Machine) review(q *wire.ClaimJobsRequest) *wire.ClaimJobsReply {
	reply := &wire.ClaimJobsReply{}
	held := map[string]bool{}
	for _, h := range q.GetHeld() {
		held[h.GetId()] = true
		if h.GetEpoch() == 0 {
			continue // a Keep is under way
		}
		r := m.jobs[h.GetId()]
		switch {
		case r == nil || r.epoch != h.GetEpoch() || !wire.Same(r.owner, q.GetOwner()):
			reply.Lost = append(reply.Lost, h.GetId())
		case r.state == wire.JobState_JOB_STATE_CANCELLED:
			reply.Cancelled = append(reply.Cancelled, h.GetId())
		}
	}
	room := maxClaimBytes
	for _, id := range slices.Sorted(maps.Keys(m.owned[ownerOf(q.GetOwner())])) {
		if held[id] {
			continue
		}
		r := m.jobs[id]
		room -= r.bytes()
		if room < 0 && len(reply.Jobs) > 0 {
			break
		}
		reply.Jobs = append(reply.Jobs, r.message())
	}
	return reply
}
