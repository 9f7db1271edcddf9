package quorum

import (
	"log/slog"
	"math"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// maxLearnerLag is the maximum number of entries that a learner may lack
	// when it is promoted to voter.
	maxLearnerLag = 16
	// maxAutomaticMembers is the size of a group up to which hosts are admitted
	// automatically.
	maxAutomaticMembers = 9
	// replacedRemoveAfter is how long a voter may be unreachable if it has been
	// replaced.
	replacedRemoveAfter = 2 * time.Second
)

// proposeGroup proposes a new membership. Only one membership change can be in
// progress at a time.
func (n *Node) proposeGroup(group *wire.LogGroup, p *proposal) error {
	if !n.isCurrentLeader(n.cfg.Now()) {
		return n.notLeaderError("change the group")
	}
	if n.groupIndex > n.commit {
		return &Error{Op: "change the group", Kind: KindBusy, Err: eris.New("another membership change is in progress")}
	}
	if !findHost(group, n.cfg.ID, n.store.identity.GetFolder()).GetVoter() {
		return &Error{Op: "change the group", Kind: KindBusy, Err: eris.New("the leader cannot remove itself or its vote; stop it so that another host becomes leader, then retry")}
	}
	n.appendAsLeader(&wire.LogEntry{Group: group}, p)
	for _, host := range group.GetHosts() {
		if !host.GetVoter() {
			delete(n.progress, host.GetId())
		}
	}
	return nil
}

// maintainMembership promotes learners that have caught up and, with seeds,
// removes unreachable hosts.
func (n *Node) maintainMembership(now time.Time) {
	if n.groupIndex > n.commit || !n.isCurrentLeader(now) {
		return
	}
	var ready []*wire.LogHost
	for _, host := range n.otherHosts() {
		p := n.progress[host.GetId()]
		if !host.GetVoter() && p != nil && p.match > 0 && p.match+maxLearnerLag >= n.store.lastIndex() {
			ready = append(ready, host)
		}
	}
	reached := n.reachedVoters(now)
	if len(ready) > 0 && !n.removesFirst(reached, len(ready)) {
		n.logEvent(event.HostAdmitted, slog.String("host", ready[0].GetId()))
		_ = n.proposeGroup(withVoter(n.group, ready[0].GetId()), nil)
		return
	}
	if n.cfg.usesSeeds() {
		n.removeUnreachable(now, reached, len(ready))
	}
}

// reachedVoters returns the number of voters that have answered this leader
// recently, itself included.
func (n *Node) reachedVoters(now time.Time) int {
	reached := 0
	for _, host := range n.group.GetHosts() {
		p := n.progress[host.GetId()]
		if host.GetVoter() && (host.GetId() == n.cfg.ID || p != nil && now.Sub(p.ackedAt) < n.leaseDuration()) {
			reached++
		}
	}
	return reached
}

// needed returns how many hosts must answer for a voter to be removed.
func (n *Node) needed() int { return 2*n.cfg.ToleratedLosses + 1 }

// removesFirst reports whether an unreachable voter is removed before a learner
// gets its vote, as one more vote would only raise the quorum: the group must not
// depend on a host that has just come.
func (n *Node) removesFirst(reached, ready int) bool {
	voters := countVoters(n.group)
	return n.cfg.usesSeeds() && reached < voters && voters%2 == 1 && reached+ready >= n.needed()
}

// removeUnreachable removes at most one host that has been unreachable for too
// long.
func (n *Node) removeUnreachable(now time.Time, reached, ready int) {
	for _, host := range n.otherHosts() {
		silent := n.silentFor(host, now)
		if silent < n.removeAfter(host, now, reached, ready) {
			continue
		}
		if n.proposeGroup(withoutHost(n.group, host.GetId()), nil) == nil {
			n.logEvent(event.HostRemoved, slog.String("host", host.GetId()), slog.String("address", host.GetAddress()),
				slog.Int64("silentMillis", silent.Milliseconds()), slog.Bool("voter", host.GetVoter()), slog.Int("reached", reached))
		}
		return
	}
}

// removeAfter returns how long a host may be unreachable before it is removed,
// where reached voters answer and ready learners could take its place.
func (n *Node) removeAfter(host *wire.LogHost, now time.Time, reached, ready int) time.Duration {
	// Unreachable hosts that have been replaced only raise the quorum: the next
	// loss could stop the group for good.
	tooFew := reached-quorumSize(n.group) < n.cfg.ToleratedLosses
	replaced := reached > n.needed() || n.hasGrown(now)
	switch {
	case !host.GetVoter():
		return n.cfg.RemoveAfter
	case reached+ready < n.needed():
		return math.MaxInt64
	case ready > 0, tooFew && replaced:
		return min(n.cfg.RemoveAfter, replacedRemoveAfter)
	}
	return n.cfg.RemoveAfter
}

// recordGroupChange is called before the membership changes.
func (n *Node) recordGroupChange(now time.Time) {
	if now.Sub(n.groupChangedAt) >= n.cfg.RemoveAfter {
		n.settledVoters = countVoters(n.group)
	}
	n.groupChangedAt = now
}

// hasGrown reports whether voters have been added recently to a group that had
// all of its own.
func (n *Node) hasGrown(now time.Time) bool {
	return now.Sub(n.groupChangedAt) < n.cfg.RemoveAfter && countVoters(n.group) > n.settledVoters
}

// silentFor returns how long a host has not replied: the time since the newest
// call to which it replied was sent, or since this leader first called the host
// if it has replied to none.
func (n *Node) silentFor(host *wire.LogHost, now time.Time) time.Duration {
	p := n.progress[host.GetId()]
	if p == nil {
		return 0
	}
	if p.ackedAt.After(p.firstCalledAt) {
		return now.Sub(p.ackedAt)
	}
	return now.Sub(p.firstCalledAt)
}
