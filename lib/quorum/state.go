package quorum

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// startSpread is the part of the election timeout over which hosts that start
// together stand for election: pre-votes settle who goes first.
const startSpread = 4

// state is what the loop of a node owns.
type state struct {
	ctx     context.Context
	outputs []func()
	failure error

	leading bool
	leader  string
	// heardAt is when a leader was last heard from.
	heardAt time.Time
	// campaignAt is when this host stands for election, if none is heard.
	campaignAt time.Time
	// meetAt is when this host next asks the others for the group.
	meetAt time.Time
	poll   *poll
	// meets are the answers of one round of asking, metBefore those of the
	// round before: by id, or by address where there are seeds.
	meets     map[string]*wire.MeetReply
	metBefore map[string]*wire.MeetReply
	meetRound uint64
	// met is the leader of a group that this host is not in, heard of at metAt.
	met   *wire.LogHost
	metAt time.Time
	// seeds are the ones in force; known are other addresses, oldest first.
	seeds []string
	known []string

	// group is the newest in the log, at groupIndex, committed or not.
	group      *wire.LogGroup
	groupIndex uint64
	// applied and appliedGroup say how far the machine is.
	applied      uint64
	appliedGroup *wire.LogGroup
	commit       uint64

	// What only a leader has.
	termStart uint64
	progress  map[string]*progress
	proposals map[uint64]*proposal
	// round counts the times that confirmation was asked for.
	round    uint64
	confirms []*confirm
}

// proposal waits for its entry.
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

// restore brings the machine and the group to what the folder holds.
func (n *Node) restore() error {
	snapshot := n.store.snapshot
	if err := n.machine.Restore(snapshot.GetState()); err != nil {
		return corrupt(snapshotFile, "%v", err)
	}
	n.commit = snapshot.GetIndex()
	n.applied = snapshot.GetIndex()
	n.appliedGroup = snapshot.GetGroup()
	n.proposals = map[uint64]*proposal{}
	n.meets = map[string]*wire.MeetReply{}
	n.seeds = n.cfg.Seeds
	n.findGroup()
	return nil
}

// begin starts the waits. A host that restarts may have promised a leader not
// to help elect another, so it waits as if it had just heard from one.
func (n *Node) begin(ctx context.Context, now time.Time) {
	n.ctx = ctx
	n.heardAt = now
	n.campaignAt = now.Add(n.cfg.Timing.Election + rand.N(n.cfg.Timing.Election/startSpread))
	n.meetAt = now
	if n.store.fresh() && !n.cfg.seeded() && n.alone() {
		n.found(nil)
	}
	if n.onlyVoter() {
		n.heardAt = time.Time{}
		n.campaignAt = now
	}
}

func (n *Node) delayCampaign(now time.Time) {
	n.campaignAt = now.Add(n.cfg.Timing.Election + rand.N(n.cfg.Timing.Election))
}

// tick does what time asks for.
func (n *Node) tick(now time.Time) {
	if n.leading {
		n.lead(now)
		return
	}
	if n.leader != "" && now.Sub(n.heardAt) > n.cfg.Timing.Election {
		noteLeader(n.log, "", reasonSilent, slog.String("former", n.leader), slog.Int64("silentMillis", now.Sub(n.heardAt).Milliseconds()))
		n.leader = ""
	}
	if !now.Before(n.meetAt) && (n.store.fresh() || n.leader == "") {
		n.meetAt = now.Add(n.cfg.Timing.Election / 2)
		n.meet()
		n.foundFromSeeds()
	}
	if !now.Before(n.campaignAt) {
		n.campaignAt = now.Add(n.cfg.Timing.Election/5 + rand.N(n.cfg.Timing.Election/2))
		n.campaign(true)
	}
}

// findGroup looks for the newest group in the log.
func (n *Node) findGroup() {
	n.group, n.groupIndex = n.store.snapshot.GetGroup(), n.store.snapshot.GetIndex()
	for _, e := range slices.Backward(n.store.entries) {
		if e.GetGroup() != nil {
			n.group, n.groupIndex = e.GetGroup(), e.GetIndex()
			return
		}
	}
}

// append adds an entry to the log.
func (n *Node) append(e *wire.LogEntry) {
	truncates := e.GetIndex() <= n.store.lastIndex()
	n.store.append(e)
	switch {
	case truncates:
		n.findGroup()
	case e.GetGroup() != nil:
		n.group, n.groupIndex = e.GetGroup(), e.GetIndex()
	}
}

// propose appends an entry as the leader.
func (n *Node) propose(e *wire.LogEntry, p *proposal) error {
	if !n.current(n.cfg.Now()) {
		return n.notLeader("propose")
	}
	n.appendOwn(e, p)
	return nil
}

func (n *Node) appendOwn(e *wire.LogEntry, p *proposal) {
	e.Index = n.store.lastIndex() + 1
	e.Term = n.store.vote.GetTerm()
	n.append(e)
	if p != nil {
		n.proposals[e.GetIndex()] = p
	}
}

// apply hands committed entries to the machine.
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

// compact takes a snapshot where the log has grown large.
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

// dropProposals leaves the proposals in doubt.
func (n *Node) dropProposals() {
	for _, p := range n.proposals {
		p.done <- outcome{err: &Error{Op: "propose", Kind: KindInDoubt, Err: eris.New("this host no longer leads")}}
	}
	clear(n.proposals)
}

// follow makes this host a follower in term; leader may be unknown.
func (n *Node) follow(term uint64, leader string, now time.Time) {
	if term > n.store.vote.GetTerm() {
		n.store.setVote(&wire.LogVote{Term: term})
	}
	if n.leading {
		noteLeader(n.log, leader, reasonDeposed, slog.Uint64("term", term))
		n.delayCampaign(now)
	}
	if leader != n.leader && leader != "" {
		noteLeader(n.log, leader, reasonHeard, slog.Uint64("term", term))
	}
	n.leading = false
	n.leader = leader
	n.poll = nil
	n.progress = nil
	n.dropProposals()
	n.dropConfirms()
}

func (n *Node) status(now time.Time) Status {
	s := Status{
		Leader: n.leader, Term: n.store.vote.GetTerm(), Commit: n.commit, Applied: n.applied,
		Current: n.current(now), Founded: !n.store.fresh(), GroupVersion: n.groupIndex,
	}
	for _, host := range n.group.GetHosts() {
		one := HostStatus{ID: host.GetId(), Address: host.GetAddress(), Voter: host.GetVoter()}
		if host.GetId() == n.cfg.ID {
			one.Match = n.store.lastIndex()
			one.Reached = true
		} else if p := n.progress[host.GetId()]; p != nil {
			one.Match = p.match
			one.Reached = now.Sub(p.ackedAt) < n.leaseTime()
		}
		s.Hosts = append(s.Hosts, one)
	}
	return s
}

// self returns this host's entry in the group, nil where its folder has none.
func (n *Node) self() *wire.LogHost {
	return hostOf(n.group, n.cfg.ID, n.store.identity.GetFolder())
}

func (n *Node) onlyVoter() bool {
	return n.self().GetVoter() && quorumSize(n.group) == 1 && voters(n.group) == 1
}

func (n *Node) alone() bool {
	return !slices.ContainsFunc(n.cfg.Peers, func(h *wire.LogHost) bool { return h.GetId() != n.cfg.ID })
}

func (n *Node) fail(err error) {
	if n.failure == nil {
		n.failure = err
	}
}
