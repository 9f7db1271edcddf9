package control

import (
	"time"

	"skylarklane.example/lib/wire"
)

// rollout notes which configuration each member follows, by the number of its
// incarnation.
type rollout map[uint64]uint64

// follow takes in that a member renews its lease at, a time of day. Where the
// member has come to follow another configuration since it was seen last, it
// returns how long after the acceptance that is.
func (r rollout) follow(m *machine, q *wire.RenewRequest, at time.Time) (time.Duration, bool) {
	if m.state.GetVersion() != q.GetDirectoryVersion() {
		return 0, false
	}
	number, version := q.GetMember().GetIncarnation().GetNumber(), m.inForce.GetVersion()
	before, known := r[number]
	r[number] = version
	if !known || before == version {
		return 0, false
	}
	accepted := time.UnixMilli(m.latest().GetAcceptedAtMillis())
	return max(at.Sub(accepted), 0), true
}

// prune forgets members that are gone.
func (r rollout) prune(members []*wire.Member) {
	if len(r) <= 2*len(members) {
		return
	}
	clear(r)
}
