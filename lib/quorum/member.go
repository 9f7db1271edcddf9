package quorum

import (
	"log/slog"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

const (
	// maxLag is how many entries a learner may lack when it gets its vote.
	maxLag = 16
	// maxMembers bounds the hosts that join a group by themselves.
	maxMembers = 9
)

// proposeGroup changes the membership, one change at a time.
func (n *Node) proposeGroup(group *wire.LogGroup, p *proposal) error {
	if !n.current(n.cfg.Now()) {
		return n.notLeader("change the group")
	}
	if n.groupIndex > n.commit {
		return &Error{Op: "change the group", Kind: KindBusy, Err: eris.New("another change is under way")}
	}
	if !hostOf(group, n.cfg.ID, n.store.identity.GetFolder()).GetVoter() {
		return &Error{Op: "change the group", Kind: KindBusy, Err: eris.New("the leader cannot take its own vote; stop it, so that another leads, and try again")}
	}
	n.appendOwn(&wire.LogEntry{Group: group}, p)
	for _, host := range group.GetHosts() {
		if !host.GetVoter() {
			delete(n.progress, host.GetId())
		}
	}
	return nil
}

// tend gives learners that have caught up their vote.
func (n *Node) tend(now time.Time) {
	if n.groupIndex > n.commit || !n.current(now) {
		return
	}
	for _, host := range n.others() {
		p := n.progress[host.GetId()]
		if host.GetVoter() || p == nil || p.match == 0 || p.match+maxLag < n.store.lastIndex() {
			continue
		}
		n.note(event.HostAdmitted, slog.String("host", host.GetId()))
		_ = n.proposeGroup(withVoter(n.group, host.GetId()), nil)
		return
	}
	if n.cfg.seeded() {
		n.removeLost(now)
	}
}

// removeLost takes a host out of the group that has not answered for long. A
// voter stays where too few that answer would remain.
func (n *Node) removeLost(now time.Time) {
	reached := 0
	for _, host := range n.group.GetHosts() {
		if host.GetVoter() && (host.GetId() == n.cfg.ID || n.silentFor(host, now) < n.leaseTime()) {
			reached++
		}
	}
	for _, host := range n.others() {
		silent := n.silentFor(host, now)
		if silent < n.cfg.RemoveAfter || host.GetVoter() && reached < 2*n.cfg.Tolerated+1 {
			continue
		}
		if n.proposeGroup(withoutHost(n.group, host.GetId()), nil) == nil {
			n.note(event.HostRemoved, slog.String("host", host.GetId()), slog.String("address", host.GetAddress()),
				slog.Int64("silentMillis", silent.Milliseconds()), slog.Bool("voter", host.GetVoter()), slog.Int("reached", reached))
		}
		return
	}
}

// silentFor returns how long ago a call was sent that a host has answered, at
// the longest since this leader first called it.
func (n *Node) silentFor(host *wire.LogHost, now time.Time) time.Duration {
	p := n.progress[host.GetId()]
	if p == nil {
		return 0
	}
	if p.ackedAt.After(p.calledAt) {
		return now.Sub(p.ackedAt)
	}
	return now.Sub(p.calledAt)
}
