package store

import (
	"maps"
	"slices"

	"skylarklane.example/lib/wire"
)

// maxClaimBytes is the approximate limit on the size of the jobs in one claim
// reply.
const maxClaimBytes = 1 << 20

// reconciliation compares the jobs that an owner reports as held with the
// stored ones. The reply lists the reported jobs that the owner no longer owns
// or that are cancelled, and the jobs that it owns but did not report because
// the reply that assigned them was lost.
func (m *Machine) reconciliation(q *wire.ClaimJobsRequest) *wire.ClaimJobsReply {
	reply := &wire.ClaimJobsReply{}
	held := map[string]bool{}
	for _, h := range q.GetHeld() {
		held[h.GetId()] = true
		if h.GetEpoch() == 0 {
			continue // its Keep call is in progress
		}
		r := m.jobs[h.GetId()]
		switch {
		case r == nil || r.epoch != h.GetEpoch() || !wire.Same(r.owner, q.GetOwner()):
			reply.Lost = append(reply.Lost, h.GetId())
		case r.state == wire.JobState_JOB_STATE_CANCELLED:
			reply.Cancelled = append(reply.Cancelled, h.GetId())
		}
	}
	budget := maxClaimBytes
	for _, id := range slices.Sorted(maps.Keys(m.activeByOwner[ownerOf(q.GetOwner())])) {
		if held[id] {
			continue
		}
		r := m.jobs[id]
		budget -= r.bytes()
		if budget < 0 && len(reply.Jobs) > 0 {
			break
		}
		reply.Jobs = append(reply.Jobs, r.toWire())
	}
	return reply
}
