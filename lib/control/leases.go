package control

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"skylarklane.example/lib/wire"
)

// silenceTime is how long an agent that was dropped from a view as silent may
// not join it again.
const silenceTime = 10 * time.Second

// lease is what the leader last heard of a member.
type lease struct {
	incarnation *wire.Incarnation
	until       time.Time
	version     uint64
}

// silence names an agent that did not answer for a shard.
type silence struct {
	shard uint32
	id    string
}

// leases is the leader's memory; nothing of it is in the log. A new leader
// starts with full leases for everyone.
type leases struct {
	length time.Duration
	held   map[string]*lease
	silent map[silence]time.Time
	// heardAt is when any member was last heard of.
	heardAt time.Time
}

func newLeases(length time.Duration) *leases {
	return &leases{length: length, held: map[string]*lease{}, silent: map[silence]time.Time{}}
}

// grantAll gives every member a full lease from now on and forgets the rest.
func (l *leases) grantAll(members []*wire.Member, now time.Time) {
	clear(l.held)
	clear(l.silent)
	l.heardAt = now
	for _, member := range members {
		l.renew(member.GetIncarnation(), 0, now)
	}
}

// hear takes a member's renewal in. The first after nobody was heard of for a
// while shows that this host was cut off, not that the others are dead: all of
// them get a full lease.
func (l *leases) hear(members []*wire.Member, who *wire.Incarnation, version uint64, now time.Time) {
	if l.deaf(now) {
		l.grantAll(members, now)
	}
	l.heardAt = now
	l.renew(who, version, now)
}

// deaf tells whether no member was heard of for half a lease. Members renew
// theirs more often than that, and no lease ends sooner after the cut.
func (l *leases) deaf(now time.Time) bool { return now.Sub(l.heardAt) >= l.length/2 }

// renew extends a member's lease, counted from now.
func (l *leases) renew(who *wire.Incarnation, version uint64, now time.Time) {
	l.held[who.GetId()] = &lease{incarnation: who, until: now.Add(l.length), version: version}
}

// left returns how long a member's lease still runs.
func (l *leases) left(who *wire.Incarnation, now time.Time) (time.Duration, uint64) {
	held := l.held[who.GetId()]
	if held == nil || !wire.Same(held.incarnation, who) {
		return 0, 0
	}
	return held.until.Sub(now), held.version
}

// expired lists the members whose lease has run out, by id. It lists none
// while nobody at all is heard of.
func (l *leases) expired(members []*wire.Member, now time.Time) []*wire.Incarnation {
	if l.deaf(now) {
		return nil
	}
	var dead []*wire.Incarnation
	for _, member := range members {
		if left, _ := l.left(member.GetIncarnation(), now); left <= 0 {
			dead = append(dead, member.GetIncarnation())
		}
	}
	return dead
}

// forget drops the leases of those that are no longer members.
func (l *leases) forget(members []*wire.Member) {
	alive := map[string]bool{}
	for _, member := range members {
		alive[member.GetIncarnation().GetId()] = true
	}
	maps.DeleteFunc(l.held, func(id string, _ *lease) bool { return !alive[id] })
}

// silence keeps an agent out of a shard's view for a while.
func (l *leases) silence(shard uint32, who *wire.Incarnation, now time.Time) {
	l.silent[silence{shard: shard, id: who.GetId()}] = now.Add(silenceTime)
}

// avoid returns which agents may not join which views now.
func (l *leases) avoid(now time.Time) avoided {
	maps.DeleteFunc(l.silent, func(_ silence, until time.Time) bool { return !now.Before(until) })
	return func(shard uint32, who *wire.Incarnation) bool {
		_, found := l.silent[silence{shard: shard, id: who.GetId()}]
		return found
	}
}

// status tells what is known of each member, by id.
func (l *leases) status(members []*wire.Member, now time.Time) []*wire.MemberStatus {
	var found []*wire.MemberStatus
	for _, member := range members {
		left, version := l.left(member.GetIncarnation(), now)
		found = append(found, &wire.MemberStatus{
			Member: member, LeaseLeftMillis: left.Milliseconds(), DirectoryVersion: version,
		})
	}
	slices.SortFunc(found, func(a, b *wire.MemberStatus) int {
		return cmp.Compare(a.GetMember().GetIncarnation().GetId(), b.GetMember().GetIncarnation().GetId())
	})
	return found
}
