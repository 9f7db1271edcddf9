package control

import (
	"time"

	"skylarklane.example/lib/wire"
)

// rollout maps each member's incarnation number to the configuration version
// that it uses.
type rollout map[uint64]uint64

// observe records a lease renewal at the given wall-clock time. If the member
// has switched to another configuration since its last renewal, it returns the
// time from the configuration's acceptance until now.
func (r rollout) observe(m *machine, q *wire.RenewRequest, at time.Time) (time.Duration, bool) {
	if m.state.GetVersion() != q.GetDirectoryVersion() {
		return 0, false
	}
	number, version := q.GetMember().GetIncarnation().GetNumber(), m.activeConfig.GetVersion()
	before, known := r[number]
	r[number] = version
	if !known || before == version {
		return 0, false
	}
	accepted := time.UnixMilli(m.latestChange().GetAcceptedAtMillis())
	return max(at.Sub(accepted), 0), true
}

// prune clears the map once it has more than twice as many entries as there
// are members, so that former members do not accumulate.
func (r rollout) prune(members []*wire.Member) {
	if len(r) <= 2*len(members) {
		return
	}
	clear(r)
}
