package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// rejoinDelay is the time for which an agent that was removed from a view as
// unresponsive may not join it again.
const rejoinDelay = 10 * time.Second

// lease is the leader's record of a member's last renewal.
type lease struct {
	incarnation      *wire.Incarnation
	expiresAt        time.Time
	directoryVersion uint64
	// final is set once the leader has decided to declare the member dead: the
	// command may be committed at any time, so the lease is not renewed.
	final bool
}

// quarantine identifies an agent that temporarily may not join a shard's view
// because it was unresponsive there.
type quarantine struct {
	shard uint32
	id    string
}

// leases is volatile state of the leader, not part of the log. A new leader
// starts by granting every member a full lease.
type leases struct {
	length time.Duration
	// held is each member's lease, by member id.
	held map[string]*lease
	// quarantined is the time at which each quarantine ends.
	quarantined map[quarantine]time.Time
	// lastRenewalAt is the time of the last renewal by any member.
	lastRenewalAt time.Time
	// retiredUntil is when the leases of all incarnations that were replaced by
	// another one have expired.
	retiredUntil time.Time
	// vacancies has the shards without members, by number.
	vacancies map[uint32]vacancy
}

// vacancy is an epoch of a shard in which it has no members.
type vacancy struct {
	epoch uint64
	// until is when the leases of the members that it had before have expired.
	until time.Time
}

func newLeases(length time.Duration) *leases {
	return &leases{length: length, held: map[string]*lease{}, quarantined: map[quarantine]time.Time{}, vacancies: map[uint32]vacancy{}}
}

// startTerm forgets the decisions of earlier terms and grants every member a
// full lease. An incarnation that was replaced in an earlier term may have as
// much left.
func (l *leases) startTerm(members []*wire.Member, now time.Time) {
	clear(l.held)
	clear(l.vacancies)
	l.retiredUntil = now.Add(l.length)
	l.grantAll(members, now)
}

// grantAll grants every member a full lease from now and drops all quarantines.
func (l *leases) grantAll(members []*wire.Member, now time.Time) {
	clear(l.quarantined)
	l.lastRenewalAt = now
	for _, member := range members {
		l.grant(member.GetIncarnation(), 0, now)
	}
}

// recordRenewal records a member's renewal. The first renewal after a period
// without any shows that this host was isolated, not that the other members
// are dead, so all of them get a full lease.
func (l *leases) recordRenewal(members []*wire.Member, inc *wire.Incarnation, directoryVersion uint64, now time.Time) {
	if l.isolated(now) {
		l.grantAll(members, now)
	}
	l.lastRenewalAt = now
	l.grant(inc, directoryVersion, now)
}

// isolated reports whether this host appears to be cut off from the members:
// none has renewed for half a lease. Members renew more often than that, so
// when the host is cut off every lease still has more than half a lease left
// and the isolation is detected before any lease expires.
func (l *leases) isolated(now time.Time) bool { return now.Sub(l.lastRenewalAt) >= l.length/2 }

// grant gives a member a full lease from now, unless its lease is final.
func (l *leases) grant(inc *wire.Incarnation, directoryVersion uint64, now time.Time) {
	if l.isFinal(inc) {
		return
	}
	if held := l.held[inc.GetId()]; held != nil && !wire.Same(held.incarnation, inc) && held.expiresAt.After(l.retiredUntil) {
		l.retiredUntil = held.expiresAt
	}
	l.held[inc.GetId()] = &lease{incarnation: inc, expiresAt: now.Add(l.length), directoryVersion: directoryVersion}
}

// end makes the leases of members that the leader declares dead final.
func (l *leases) end(dead []*wire.Incarnation) {
	for _, inc := range dead {
		l.held[inc.GetId()].final = true
	}
}

// isFinal reports whether a member's lease is not renewed any more.
func (l *leases) isFinal(inc *wire.Incarnation) bool {
	held := l.held[inc.GetId()]
	return held != nil && held.final && wire.Same(held.incarnation, inc)
}

// remaining returns the time left on a member's lease, and the directory
// version that the member last reported.
func (l *leases) remaining(inc *wire.Incarnation, now time.Time) (time.Duration, uint64) {
	held := l.held[inc.GetId()]
	if held == nil || !wire.Same(held.incarnation, inc) {
		return 0, 0
	}
	return held.expiresAt.Sub(now), held.directoryVersion
}

// expired lists the members whose lease has expired. It lists none while this
// host is isolated.
func (l *leases) expired(members []*wire.Member, now time.Time) []*wire.Incarnation {
	if l.isolated(now) {
		return nil
	}
	var dead []*wire.Incarnation
	for _, member := range members {
		if remaining, _ := l.remaining(member.GetIncarnation(), now); remaining <= 0 {
			dead = append(dead, member.GetIncarnation())
		}
	}
	return dead
}

// reconcile drops the leases of former members and grants a full one to each
// member that this host sees for the first time: a join is committed before the
// first renewal is recorded.
func (l *leases) reconcile(members []*wire.Member, now time.Time) {
	alive := map[string]bool{}
	for _, member := range members {
		inc := member.GetIncarnation()
		alive[inc.GetId()] = true
		if held := l.held[inc.GetId()]; held == nil || !wire.Same(held.incarnation, inc) {
			l.grant(inc, 0, now)
		}
	}
	maps.DeleteFunc(l.held, func(id string, _ *lease) bool { return !alive[id] })
}

// updateVacancies records the shards that have lost their members. Incarnations
// that are replaced later were none of them.
func (l *leases) updateVacancies(views []*wire.View) {
	for _, view := range views {
		shard := view.GetShard()
		switch {
		case view.GetPrimary() != nil:
			delete(l.vacancies, shard)
		case l.vacancies[shard].epoch != view.GetEpoch():
			l.vacancies[shard] = vacancy{epoch: view.GetEpoch(), until: l.retiredUntil}
		}
	}
}

// quarantine keeps an agent out of a shard's view for rejoinDelay.
func (l *leases) quarantine(shard uint32, inc *wire.Incarnation, now time.Time) {
	l.quarantined[quarantine{shard: shard, id: inc.GetId()}] = now.Add(rejoinDelay)
}

// quarantineCheck removes the quarantines that have ended by the given time, and
// returns a function that reports whether an agent is in quarantine.
func (l *leases) quarantineCheck(now time.Time) excludedFunc {
	maps.DeleteFunc(l.quarantined, func(_ quarantine, until time.Time) bool { return !now.Before(until) })
	return func(shard uint32, inc *wire.Incarnation) bool {
		_, found := l.quarantined[quarantine{shard: shard, id: inc.GetId()}]
		return found
	}
}

// status returns the status of each member, sorted by id.
func (l *leases) status(members []*wire.Member, now time.Time) []*wire.MemberStatus {
	var found []*wire.MemberStatus
	for _, member := range members {
		remaining, directoryVersion := l.remaining(member.GetIncarnation(), now)
		found = append(found, &wire.MemberStatus{
			Member: member, LeaseLeftMillis: remaining.Milliseconds(), DirectoryVersion: directoryVersion,
		})
	}
	slices.SortFunc(found, func(a, b *wire.MemberStatus) int {
		return cmp.Compare(a.GetMember().GetIncarnation().GetId(), b.GetMember().GetIncarnation().GetId())
	})
	return found
}
