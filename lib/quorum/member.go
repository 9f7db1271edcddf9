package quorum

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// maxLag is how many entries a learner may lack when it gets its vote.
const maxLag = 16

// proposeGroup changes the membership, one change at a time.
func (n *Node) proposeGroup(group *wire.LogGroup, p *proposal) error {
	if !n.current(time.Now()) {
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
		n.log.Info("A host has caught up and gets its vote.", "host", host.GetId())
		_ = n.proposeGroup(withVoter(n.group, host.GetId()), nil)
		return
	}
}

// meet asks the other hosts for the group.
func (n *Node) meet() {
	clear(n.meets)
	request := &wire.MeetRequest{Id: n.cfg.ID, Folder: n.store.identity.GetFolder(), Group: n.store.identity.GetGroup()}
	for _, host := range n.cfg.Peers {
		if host.GetId() != n.cfg.ID {
			n.output(func() { go (&meetCall{n, host, request}).run(n.ctx) })
		}
	}
}

// meetCall asks one host for the group.
type meetCall struct {
	n    *Node
	host *wire.LogHost
	q    *wire.MeetRequest
}

func (c *meetCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.n.cfg.Timing.Election/2)
	defer cancel()
	reply, err := c.n.transport.Meet(ctx, c.host, c.q)
	if err == nil && reply.GetId() == c.host.GetId() {
		c.n.post(func() { c.n.takeMeet(c.q, reply) })
	}
}

func (n *Node) takeMeet(q *wire.MeetRequest, reply *wire.MeetReply) {
	group := reply.GetGroup()
	if !n.store.fresh() {
		if q.GetGroup() != 0 {
			n.checkReplaced(reply)
		}
		return
	}
	if group == nil {
		n.meets[reply.GetId()] = reply
		n.foundIfFirst()
		return
	}
	if hostOf(group, n.cfg.ID, n.store.identity.GetFolder()) != nil {
		n.adopt(group.GetId())
	}
}

// checkReplaced stops a host whose place another folder has taken.
func (n *Node) checkReplaced(reply *wire.MeetReply) {
	group := reply.GetGroup()
	if !reply.GetLeader() {
		return
	}
	if group.GetId() != n.store.identity.GetGroup() {
		n.fail(&Error{Op: "meet", Kind: KindForeign, Err: eris.New("the data folder belongs to another group; empty it to have this host readmitted")})
		return
	}
	if hostOf(group, n.cfg.ID, n.store.identity.GetFolder()) == nil {
		n.fail(&Error{Op: "meet", Kind: KindForeign, Err: eris.New("the group has gone on without this data folder; empty it to have this host readmitted")})
	}
}

// foundIfFirst founds the group once every host has said that it has none. A
// host that lost its folder cannot do so by itself: the others know a group.
func (n *Node) foundIfFirst() {
	var hosts []*wire.LogHost
	for _, peer := range n.cfg.Peers {
		if peer.GetId() < n.cfg.ID {
			return
		}
		reply := n.meets[peer.GetId()]
		if peer.GetId() == n.cfg.ID {
			continue
		}
		if reply == nil {
			return
		}
		hosts = append(hosts, &wire.LogHost{Id: peer.GetId(), Address: peer.GetAddress(), Folder: reply.GetFolder(), Voter: true})
	}
	n.found(hosts)
}

// found makes this host and the given others a group.
func (n *Node) found(others []*wire.LogHost) {
	self := &wire.LogHost{Id: n.cfg.ID, Folder: n.store.identity.GetFolder(), Voter: true}
	for _, peer := range n.cfg.Peers {
		if peer.GetId() == n.cfg.ID {
			self.Address = peer.GetAddress()
		}
	}
	group := &wire.LogGroup{Id: randomNumber(), Hosts: slices.Insert(others, 0, self)}
	if err := n.store.adopt(group.GetId(), &wire.LogSnapshot{Index: 1, Term: 1, Group: group}); err != nil {
		n.fail(err)
		return
	}
	n.log.Info("Founded the group.", "hosts", len(group.GetHosts()))
	n.commit, n.applied, n.appliedGroup = 1, 1, group
	n.findGroup()
	n.campaignAt = time.Now().Add(n.cfg.Timing.Election / 4)
	n.meet()
}

// adopt makes this host, whose folder is new, part of a group that lists it.
func (n *Node) adopt(group uint64) {
	if err := n.store.adopt(group, &wire.LogSnapshot{}); err != nil {
		n.fail(err)
		return
	}
	n.heardAt = time.Time{}
	n.log.Info("Joined the group.")
}

// Meet implements wire.Quorum.
func (n *Node) Meet(ctx context.Context, q *wire.MeetRequest) (*wire.MeetReply, error) {
	var reply *wire.MeetReply
	err := n.do(ctx, func() error {
		reply = n.met(q, time.Now())
		return nil
	})
	return reply, err
}

func (n *Node) met(q *wire.MeetRequest, now time.Time) *wire.MeetReply {
	reply := &wire.MeetReply{Id: n.cfg.ID, Folder: n.store.identity.GetFolder()}
	if n.store.fresh() {
		if q.GetGroup() != 0 {
			n.meetAt = now
		}
		return reply
	}
	reply.Group = n.appliedGroup
	if reply.Group == nil {
		reply.Group = &wire.LogGroup{Id: n.store.identity.GetGroup()}
	}
	reply.Leader = n.current(now)
	if q.GetGroup() == 0 && reply.Leader {
		n.readmit(q)
	}
	return reply
}

// readmit lets a host of the group that comes with a new folder follow the
// log. It has no vote until it has caught up.
func (n *Node) readmit(q *wire.MeetRequest) {
	i := slices.IndexFunc(n.group.GetHosts(), func(h *wire.LogHost) bool { return h.GetId() == q.GetId() })
	if i < 0 || n.group.GetHosts()[i].GetFolder() == q.GetFolder() {
		return
	}
	host := n.group.GetHosts()[i]
	if n.proposeGroup(withHost(n.group, host.GetId(), host.GetAddress(), q.GetFolder()), nil) == nil {
		n.log.Warn("A host came with a new data folder; it follows without a vote until it has caught up.", "host", q.GetId())
	}
}
