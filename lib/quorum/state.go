package quorum

import (
	"context"
	"log/slog"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// startJitterDivisor sets the random part of the first election timeout, as a
// fraction of the timeout. A small random part is enough, because pre-votes
// prevent hosts that start together from splitting the votes.
const startJitterDivisor = 4

// state is the part of a node that only its loop accesses.
type state struct {
	ctx           context.Context
	syncCallbacks []func()
	failure       error

	leading bool
	leader  string
	// leaderHeardAt is when the last message of a leader arrived.
	leaderHeardAt time.Time
	// campaignAt is when this host starts an election, unless a leader is heard
	// before.
	campaignAt time.Time
	// nextMeetAt is when this host next starts a round of Meet calls.
	nextMeetAt time.Time
	election   *election
	// meetReplies holds the replies of the current round of Meet calls,
	// previousMeetReplies those of the round before. The keys are host ids or,
	// with seeds, addresses.
	meetReplies         map[string]*wire.MeetReply
	previousMeetReplies map[string]*wire.MeetReply
	meetRound           uint64
	// otherLeader is the leader of a group that this host is not a member of,
	// as of otherLeaderAt.
	otherLeader   *wire.LogHost
	otherLeaderAt time.Time
	// seeds are the current seeds. knownAddresses are the addresses of other
	// hosts, oldest first.
	seeds          []string
	knownAddresses []string

	// group is the newest membership in the log, committed or not, and
	// groupIndex its index.
	group      *wire.LogGroup
	groupIndex uint64
	// groupChangedAt is when this host last received a membership, and
	// settledVoters the number of voters of the one that last remained unchanged
	// for RemoveAfter.
	groupChangedAt time.Time
	settledVoters  int
	// applied is the index of the last applied entry, and appliedGroup the
	// membership at that index.
	applied      uint64
	appliedGroup *wire.LogGroup
	commit       uint64

	// The following fields are used only by a leader.
	termStart uint64
	progress  map[string]*progress
	proposals map[uint64]*proposal
	// round is the number of confirmed reads requested in this term. Each call
	// to another host records it: a reply to a call of round r confirms the
	// reads up to r.
	round          uint64
	confirmedReads []*confirmedRead
}

// proposal receives the result of an entry once the entry is applied.
type proposal struct {
	done chan outcome
}

type outcome struct {
	value any
	err   error
}

func (p *proposal) wait(ctx context.Context, stopped <-chan struct{}) (any, error) {
	select {
	case o := <-p.done:
		return o.value, o.err
	case <-ctx.Done():
		return nil, &Error{Op: "propose", Kind: KindInDoubt, Err: ctx.Err()}
	case <-stopped:
		return nil, &Error{Op: "propose", Kind: KindInDoubt, Err: eris.New("the node has stopped")}
	}
}

// restore initialises the state machine and the membership from the data
// folder.
func (n *Node) restore() error {
	snapshot := n.store.snapshot
	if err := n.machine.Restore(snapshot.GetState()); err != nil {
		return corruptError(snapshotFile, "%v", err)
	}
	n.commit = snapshot.GetIndex()
	n.applied = snapshot.GetIndex()
	n.appliedGroup = snapshot.GetGroup()
	n.proposals = map[uint64]*proposal{}
	n.meetReplies = map[string]*wire.MeetReply{}
	n.seeds = n.cfg.Seeds
	n.loadNewestGroup()
	n.groupChangedAt = n.cfg.Now()
	n.settledVoters = countVoters(n.group)
	if n.cfg.Bootstrap {
		n.settledVoters = math.MaxInt // a first group is still growing
	}
	return nil
}

// startTimers starts the timers. A restarted host may have acknowledged a
// leader that still relies on its lease, so it waits as if it had just heard
// from a leader.
func (n *Node) startTimers(ctx context.Context, now time.Time) {
	n.ctx = ctx
	n.leaderHeardAt = now
	n.campaignAt = now.Add(n.cfg.Timing.Election + rand.N(n.cfg.Timing.Election/startJitterDivisor))
	n.nextMeetAt = now
	if n.store.isNew() && !n.cfg.usesSeeds() && n.isOnlyPeer() {
		n.bootstrap(nil)
	}
	if n.isOnlyVoter() {
		n.leaderHeardAt = time.Time{}
		n.campaignAt = now
	}
}

// delayCampaign restarts the election timeout with a new random duration.
func (n *Node) delayCampaign(now time.Time) {
	n.campaignAt = now.Add(n.cfg.Timing.Election + rand.N(n.cfg.Timing.Election))
}

// tick performs the actions that are due at the given time.
func (n *Node) tick(now time.Time) {
	if n.leading {
		n.tickLeader(now)
		return
	}
	if n.leader != "" && now.Sub(n.leaderHeardAt) > n.cfg.Timing.Election {
		logLeaderChange(n.log, "", reasonSilent, slog.String("former", n.leader), slog.Int64("silentMillis", now.Sub(n.leaderHeardAt).Milliseconds()))
		n.leader = ""
	}
	if !now.Before(n.nextMeetAt) && (n.store.isNew() || n.leader == "") {
		n.nextMeetAt = now.Add(n.cfg.Timing.Election / 2)
		n.startMeetRound()
		n.bootstrapFromSeeds()
	}
	if !now.Before(n.campaignAt) {
		n.campaignAt = now.Add(n.cfg.Timing.Election/5 + rand.N(n.cfg.Timing.Election/2))
		n.campaign(true)
	}
}

// loadNewestGroup sets group to the newest membership in the log.
func (n *Node) loadNewestGroup() {
	n.group, n.groupIndex = n.store.snapshot.GetGroup(), n.store.snapshot.GetIndex()
	for _, e := range slices.Backward(n.store.entries) {
		if e.GetGroup() != nil {
			n.group, n.groupIndex = e.GetGroup(), e.GetIndex()
			return
		}
	}
}

// append appends an entry to the log and updates the membership.
func (n *Node) append(e *wire.LogEntry) {
	truncates := e.GetIndex() <= n.store.lastIndex()
	n.store.append(e)
	switch {
	case truncates:
		n.loadNewestGroup()
	case e.GetGroup() != nil:
		n.recordGroupChange(n.cfg.Now())
		n.group, n.groupIndex = e.GetGroup(), e.GetIndex()
	}
}

// propose appends an entry if this host is the leader.
func (n *Node) propose(e *wire.LogEntry, p *proposal) error {
	if !n.isCurrentLeader(n.cfg.Now()) {
		return n.notLeaderError("propose")
	}
	n.appendAsLeader(e, p)
	return nil
}

func (n *Node) appendAsLeader(e *wire.LogEntry, p *proposal) {
	e.Index = n.store.lastIndex() + 1
	e.Term = n.store.vote.GetTerm()
	n.append(e)
	if p != nil {
		n.proposals[e.GetIndex()] = p
	}
}

// apply applies committed entries to the state machine.
func (n *Node) apply() error {
	for n.applied < n.commit {
		e := n.store.entry(n.applied + 1)
		n.applied++
		var value any
		if e.GetCommand() != nil {
			value = n.machine.Apply(e.GetIndex(), e.GetCommand())
		}
		if e.GetGroup() != nil {
			n.appliedGroup = e.GetGroup()
		}
		if p := n.proposals[e.GetIndex()]; p != nil {
			delete(n.proposals, e.GetIndex())
			p.done <- outcome{value: value}
		}
	}
	return nil
}

// compact replaces the applied entries with a snapshot once the log is as large
// as CompactBytes and as the previous snapshot.
func (n *Node) compact() error {
	if n.store.logBytes < max(n.cfg.CompactBytes, len(n.store.snapshot.GetState())) || n.applied == n.store.snapshot.GetIndex() {
		return nil
	}
	return n.store.compact(&wire.LogSnapshot{
		Index: n.applied,
		Term:  n.store.termAt(n.applied),
		Group: n.appliedGroup,
		State: n.machine.Snapshot(),
	})
}

// failProposals fails the pending proposals as in doubt.
func (n *Node) failProposals() {
	for _, p := range n.proposals {
		p.done <- outcome{err: &Error{Op: "propose", Kind: KindInDoubt, Err: eris.New("this host stopped being the leader before it could confirm the command")}}
	}
	clear(n.proposals)
}

// becomeFollower makes this host a follower in a term. leader is empty if it is
// not known.
func (n *Node) becomeFollower(term uint64, leader string, now time.Time) {
	if term > n.store.vote.GetTerm() {
		n.store.setVote(&wire.LogVote{Term: term})
	}
	if n.leading {
		logLeaderChange(n.log, leader, reasonDeposed, slog.Uint64("term", term))
		n.delayCampaign(now)
	}
	if leader != n.leader && leader != "" {
		logLeaderChange(n.log, leader, reasonHeard, slog.Uint64("term", term))
	}
	n.leading = false
	n.leader = leader
	n.election = nil
	n.progress = nil
	n.failProposals()
	n.failConfirmedReads()
}

func (n *Node) status(now time.Time) Status {
	s := Status{
		Leader: n.leader, Term: n.store.vote.GetTerm(), Commit: n.commit, Applied: n.applied,
		Current: n.isCurrentLeader(now), InGroup: !n.store.isNew(), GroupVersion: n.groupIndex,
	}
	for _, host := range n.group.GetHosts() {
		hostStatus := HostStatus{ID: host.GetId(), Address: host.GetAddress(), Voter: host.GetVoter()}
		if host.GetId() == n.cfg.ID {
			hostStatus.Match = n.store.lastIndex()
			hostStatus.Reached = true
		} else if p := n.progress[host.GetId()]; p != nil {
			hostStatus.Match = p.match
			hostStatus.Reached = now.Sub(p.ackedAt) < n.leaseDuration()
		}
		s.Hosts = append(s.Hosts, hostStatus)
	}
	return s
}

// self returns this host's entry in the group, or nil if the group does not
// list its data folder.
func (n *Node) self() *wire.LogHost {
	return findHost(n.group, n.cfg.ID, n.store.identity.GetFolder())
}

func (n *Node) isOnlyVoter() bool {
	return n.self().GetVoter() && quorumSize(n.group) == 1 && countVoters(n.group) == 1
}

func (n *Node) isOnlyPeer() bool {
	return !slices.ContainsFunc(n.cfg.Peers, func(h *wire.LogHost) bool { return h.GetId() != n.cfg.ID })
}

// fail makes the loop end with err, or with the first error if there are
// several.
func (n *Node) fail(err error) {
	if n.failure == nil {
		n.failure = err
	}
}
