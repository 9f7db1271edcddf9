package quorum

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// election is an election or pre-vote in which this host is the candidate.
type election struct {
	preVote bool
	term    uint64
	granted map[string]bool
	// priorityUntil is the time until which this host takes precedence over
	// candidates with an equal log and a higher id.
	priorityUntil time.Time
}

// campaign requests votes from all voters. A pre-vote only asks whether a vote
// would be granted and changes no state.
func (n *Node) campaign(preVote bool) {
	if !n.self().GetVoter() {
		return
	}
	term := n.store.vote.GetTerm() + 1
	if !preVote {
		n.store.setVote(&wire.LogVote{Term: term, Candidate: n.cfg.ID, CandidateFolder: n.store.identity.GetFolder()})
		n.leader = ""
		n.campaignAt = n.cfg.Now().Add(n.cfg.Timing.Election/2 + rand.N(n.cfg.Timing.Election))
		n.logEvent(event.ElectionStarted, slog.Uint64("term", term))
	}
	n.election = &election{preVote: preVote, term: term, granted: map[string]bool{n.cfg.ID: true}, priorityUntil: n.cfg.Now().Add(n.cfg.Timing.Election / 5)}
	request := &wire.VoteRequest{
		Group:           n.store.identity.GetGroup(),
		Candidate:       n.cfg.ID,
		CandidateFolder: n.store.identity.GetFolder(),
		Term:            term,
		LastIndex:       n.store.lastIndex(),
		LastTerm:        n.store.lastTerm(),
		Pre:             preVote,
	}
	for _, host := range n.otherHosts() {
		if host.GetVoter() {
			n.afterSync(func() { go (&voteCall{n, host, request}).run(n.ctx) })
		}
	}
	n.countVotes()
}

// voteCall requests the vote of one host.
type voteCall struct {
	n    *Node
	host *wire.LogHost
	q    *wire.VoteRequest
}

func (c *voteCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.n.cfg.Timing.Election)
	defer cancel()
	reply, err := c.n.transport.Vote(ctx, c.host, c.q)
	if err == nil {
		c.n.post(func() { c.n.handleVoteReply(c.host, c.q, reply) })
	}
}

// handleVoteReply counts a vote if it was granted in the current election by
// the data folder that the group lists for the host.
func (n *Node) handleVoteReply(host *wire.LogHost, q *wire.VoteRequest, reply *wire.VoteReply) {
	if reply.GetTerm() > n.store.vote.GetTerm() && !reply.GetGranted() {
		n.becomeFollower(reply.GetTerm(), "", n.cfg.Now())
		return
	}
	if n.election == nil || n.election.preVote != q.GetPre() || n.election.term != q.GetTerm() || !reply.GetGranted() {
		return
	}
	if !findHost(n.group, host.GetId(), reply.GetFolder()).GetVoter() {
		return
	}
	n.election.granted[host.GetId()] = true
	n.countVotes()
}

// countVotes proceeds from the pre-vote to the election, or from the election to
// leadership, once a quorum has granted its votes.
func (n *Node) countVotes() {
	votes := 0
	for _, host := range n.group.GetHosts() {
		if host.GetVoter() && n.election.granted[host.GetId()] {
			votes++
		}
	}
	if votes < quorumSize(n.group) {
		return
	}
	if n.election.preVote {
		n.campaign(false)
		return
	}
	n.election = nil
	n.becomeLeader(n.cfg.Now())
}

// Vote implements wire.Quorum.
func (n *Node) Vote(ctx context.Context, q *wire.VoteRequest) (*wire.VoteReply, error) {
	return callInLoop(ctx, n, func() *wire.VoteReply { return n.handleVote(q, n.cfg.Now()) })
}

func (n *Node) handleVote(q *wire.VoteRequest, now time.Time) *wire.VoteReply {
	reply := &wire.VoteReply{Folder: n.store.identity.GetFolder()}
	if n.store.isNew() || q.GetGroup() != n.store.identity.GetGroup() {
		return reply
	}
	reply.Term = n.store.vote.GetTerm()
	if q.GetTerm() <= reply.Term && q.GetPre() || q.GetTerm() < reply.Term || n.leaderMayHoldLease(now) {
		return reply
	}
	upToDate := q.GetLastTerm() > n.store.lastTerm() ||
		q.GetLastTerm() == n.store.lastTerm() && q.GetLastIndex() >= n.store.lastIndex()
	if q.GetPre() {
		reply.Granted = upToDate && !n.hasPriority(q, now)
		if reply.Granted {
			n.yieldToCandidate(now)
		}
		return reply
	}
	if q.GetTerm() > reply.Term {
		n.becomeFollower(q.GetTerm(), "", now)
	}
	reply.Term = q.GetTerm()
	vote := n.store.vote
	mayGrant := vote.GetCandidate() == "" ||
		vote.GetCandidate() == q.GetCandidate() && vote.GetCandidateFolder() == q.GetCandidateFolder()
	if !mayGrant || !upToDate {
		return reply
	}
	n.store.setVote(&wire.LogVote{Term: q.GetTerm(), Candidate: q.GetCandidate(), CandidateFolder: q.GetCandidateFolder()})
	n.delayCampaign(now)
	reply.Granted = true
	return reply
}

// hasPriority reports whether this host has recently become a candidate itself
// and takes precedence over a candidate with an equal log and a higher id.
func (n *Node) hasPriority(q *wire.VoteRequest, now time.Time) bool {
	sameLog := q.GetLastTerm() == n.store.lastTerm() && q.GetLastIndex() == n.store.lastIndex()
	return n.election != nil && now.Before(n.election.priorityUntil) && sameLog && n.cfg.ID < q.GetCandidate()
}

// yieldToCandidate delays this host's own campaign in favour of another
// candidate, as two concurrent campaigns would split the votes.
func (n *Node) yieldToCandidate(now time.Time) {
	if n.election != nil && n.election.preVote {
		n.election = nil
	}
	if later := now.Add(n.cfg.Timing.Election / 5); n.campaignAt.Before(later) {
		n.campaignAt = later
	}
}

// leaderMayHoldLease reports whether the current leader may still hold its
// lease. If so, this host must not vote for another, because the leader relies
// on its lease to serve reads.
func (n *Node) leaderMayHoldLease(now time.Time) bool {
	if n.leading {
		return n.holdsLease(now)
	}
	return now.Sub(n.leaderHeardAt) < n.cfg.Timing.Election
}
