package quorum

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// poll is an election that this host stands in.
type poll struct {
	pre     bool
	term    uint64
	granted map[string]bool
	// until is how long other candidates give way to it.
	until time.Time
}

// campaign asks the voters, first without effect, then for their votes.
func (n *Node) campaign(pre bool) {
	if !n.self().GetVoter() {
		return
	}
	term := n.store.vote.GetTerm() + 1
	if !pre {
		n.store.setVote(&wire.LogVote{Term: term, Candidate: n.cfg.ID, CandidateFolder: n.store.identity.GetFolder()})
		n.leader = ""
		n.campaignAt = n.cfg.Now().Add(n.cfg.Timing.Election/2 + rand.N(n.cfg.Timing.Election))
		n.note(event.ElectionStarted, slog.Uint64("term", term))
	}
	n.poll = &poll{pre: pre, term: term, granted: map[string]bool{n.cfg.ID: true}, until: n.cfg.Now().Add(n.cfg.Timing.Election / 5)}
	request := &wire.VoteRequest{
		Group:           n.store.identity.GetGroup(),
		Candidate:       n.cfg.ID,
		CandidateFolder: n.store.identity.GetFolder(),
		Term:            term,
		LastIndex:       n.store.lastIndex(),
		LastTerm:        n.store.lastTerm(),
		Pre:             pre,
	}
	for _, host := range n.others() {
		if host.GetVoter() {
			n.output(func() { go (&voteCall{n, host, request}).run(n.ctx) })
		}
	}
	n.countVotes()
}

// voteCall asks one host for its vote.
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
		c.n.post(func() { c.n.takeVote(c.host, c.q, reply) })
	}
}

// takeVote counts a vote that was given to this very poll by the folder that
// the group knows.
func (n *Node) takeVote(host *wire.LogHost, q *wire.VoteRequest, reply *wire.VoteReply) {
	if reply.GetTerm() > n.store.vote.GetTerm() && !reply.GetGranted() {
		n.follow(reply.GetTerm(), "", n.cfg.Now())
		return
	}
	if n.poll == nil || n.poll.pre != q.GetPre() || n.poll.term != q.GetTerm() || !reply.GetGranted() {
		return
	}
	if !hostOf(n.group, host.GetId(), reply.GetFolder()).GetVoter() {
		return
	}
	n.poll.granted[host.GetId()] = true
	n.countVotes()
}

func (n *Node) countVotes() {
	votes := 0
	for _, host := range n.group.GetHosts() {
		if host.GetVoter() && n.poll.granted[host.GetId()] {
			votes++
		}
	}
	if votes < quorumSize(n.group) {
		return
	}
	if n.poll.pre {
		n.campaign(false)
		return
	}
	n.poll = nil
	n.becomeLeader(n.cfg.Now())
}

// Vote implements wire.Quorum.
func (n *Node) Vote(ctx context.Context, q *wire.VoteRequest) (*wire.VoteReply, error) {
	return answer(ctx, n, func() *wire.VoteReply { return n.voteFor(q, n.cfg.Now()) })
}

func (n *Node) voteFor(q *wire.VoteRequest, now time.Time) *wire.VoteReply {
	reply := &wire.VoteReply{Folder: n.store.identity.GetFolder()}
	if n.store.fresh() || q.GetGroup() != n.store.identity.GetGroup() {
		return reply
	}
	reply.Term = n.store.vote.GetTerm()
	if q.GetTerm() <= reply.Term && q.GetPre() || q.GetTerm() < reply.Term || n.promised(now) {
		return reply
	}
	upToDate := q.GetLastTerm() > n.store.lastTerm() ||
		q.GetLastTerm() == n.store.lastTerm() && q.GetLastIndex() >= n.store.lastIndex()
	if q.GetPre() {
		reply.Granted = upToDate && !n.goesFirst(q, now)
		if reply.Granted {
			n.yield(now)
		}
		return reply
	}
	if q.GetTerm() > reply.Term {
		n.follow(q.GetTerm(), "", now)
	}
	reply.Term = q.GetTerm()
	vote := n.store.vote
	free := vote.GetCandidate() == "" ||
		vote.GetCandidate() == q.GetCandidate() && vote.GetCandidateFolder() == q.GetCandidateFolder()
	if !free || !upToDate {
		return reply
	}
	n.store.setVote(&wire.LogVote{Term: q.GetTerm(), Candidate: q.GetCandidate(), CandidateFolder: q.GetCandidateFolder()})
	n.delayCampaign(now)
	reply.Granted = true
	return reply
}

// goesFirst tells whether this host stands for election itself and should win
// over a candidate with the same log: the lower id does.
func (n *Node) goesFirst(q *wire.VoteRequest, now time.Time) bool {
	same := q.GetLastTerm() == n.store.lastTerm() && q.GetLastIndex() == n.store.lastIndex()
	return n.poll != nil && now.Before(n.poll.until) && same && n.cfg.ID < q.GetCandidate()
}

// yield lets another candidate go on: two that stand at the same time would
// split the votes.
func (n *Node) yield(now time.Time) {
	if n.poll != nil && n.poll.pre {
		n.poll = nil
	}
	if later := now.Add(n.cfg.Timing.Election / 5); n.campaignAt.Before(later) {
		n.campaignAt = later
	}
}

// promised tells whether this host must not help elect another leader yet: the
// present one counts on that while it serves reads.
func (n *Node) promised(now time.Time) bool {
	if n.leading {
		return n.reached(now)
	}
	return now.Sub(n.heardAt) < n.cfg.Timing.Election
}
