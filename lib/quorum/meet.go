package quorum

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// maxKnown is the maximum number of addresses that a host remembers besides
// those of its group.
const maxKnown = 32

// queryGroup asks the other hosts which group they belong to.
func (n *Node) queryGroup() {
	n.meetRound++
	n.previousMeetReplies = n.meetReplies
	n.meetReplies = map[string]*wire.MeetReply{}
	request := &wire.MeetRequest{
		Id: n.cfg.ID, Folder: n.store.identity.GetFolder(), Group: n.store.identity.GetGroup(), Address: n.cfg.Address,
		Founds: n.store.isNew() && n.store.identity.GetFounds(),
	}
	for _, host := range n.meetTargets() {
		n.afterSync(func() { go (&meetCall{n, host, request, n.meetRound}).run(n.ctx) })
	}
}

// meetTargets returns the hosts to ask for the group.
func (n *Node) meetTargets() []*wire.LogHost {
	if !n.cfg.usesSeeds() {
		return slices.DeleteFunc(slices.Clone(n.cfg.Peers), func(h *wire.LogHost) bool { return h.GetId() == n.cfg.ID })
	}
	var hosts []*wire.LogHost
	for _, address := range n.addresses() {
		if address != n.cfg.Address {
			hosts = append(hosts, &wire.LogHost{Address: address})
		}
	}
	return hosts
}

// addresses returns the addresses of all known hosts, sorted and without
// duplicates.
func (n *Node) addresses() []string {
	all := slices.Concat(n.seeds, n.known)
	for _, host := range n.group.GetHosts() {
		all = append(all, host.GetAddress())
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(address string) bool { return address == "" })
}

// addKnown adds addresses of other hosts to the known ones.
func (n *Node) addKnown(addresses ...string) {
	if !n.cfg.usesSeeds() {
		return
	}
	for _, address := range addresses {
		if address == "" || address == n.cfg.Address || slices.Contains(n.known, address) {
			continue
		}
		n.known = append(n.known, address)
		if len(n.known) > maxKnown {
			n.known = slices.Clone(n.known[1:])
		}
		if n.store.isNew() {
			n.nextMeetAt = n.cfg.Now()
		}
	}
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(ctx context.Context, seeds []string) error {
	return n.runInLoop(ctx, func() error {
		if n.cfg.usesSeeds() && len(seeds) > 0 {
			n.seeds = slices.Clone(seeds)
			n.nextMeetAt = n.cfg.Now()
		}
		return nil
	})
}

// meetCall asks one host for its group.
type meetCall struct {
	n     *Node
	host  *wire.LogHost
	q     *wire.MeetRequest
	round uint64
}

func (c *meetCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.n.cfg.Timing.Election/2)
	defer cancel()
	reply, err := c.n.transport.Meet(ctx, c.host, c.q)
	if err == nil && (c.host.GetId() == "" || reply.GetId() == c.host.GetId()) {
		c.n.post(func() { c.n.handleMeetReply(c, reply) })
	}
}

func (n *Node) handleMeetReply(c *meetCall, reply *wire.MeetReply) {
	group := reply.GetGroup()
	n.addKnown(reply.GetKnown()...)
	for _, host := range group.GetHosts() {
		n.addKnown(host.GetAddress())
	}
	if !n.store.isNew() {
		if c.q.GetGroup() != 0 {
			n.checkReplaced(reply)
		}
		return
	}
	if c.q.GetFolder() != n.store.identity.GetFolder() {
		return
	}
	if reply.GetLeader() {
		n.otherLeader = &wire.LogHost{Id: reply.GetId(), Address: reply.GetAddress()}
		n.otherLeaderAt = n.cfg.Now()
	}
	if group == nil {
		n.recordNewHost(c, reply)
		return
	}
	if findHost(group, n.cfg.ID, n.store.identity.GetFolder()) != nil {
		n.joinGroup(group.GetId())
	}
}

// recordNewHost records the reply of a host that belongs to no group, and
// bootstraps the group if possible.
func (n *Node) recordNewHost(c *meetCall, reply *wire.MeetReply) {
	if c.round != n.meetRound {
		return
	}
	if n.cfg.usesSeeds() {
		n.meetReplies[c.host.GetAddress()] = reply
		n.bootstrapFromSeeds()
		return
	}
	n.meetReplies[reply.GetId()] = reply
	n.bootstrapFromPeers()
}

// checkReplaced stops the node if the group no longer includes its data folder.
func (n *Node) checkReplaced(reply *wire.MeetReply) {
	group := reply.GetGroup()
	if !reply.GetLeader() {
		return
	}
	if group.GetId() != n.store.identity.GetGroup() {
		n.fail(&Error{Op: "meet", Kind: n.otherGroupKind(), Err: eris.New("the data folder belongs to another group; empty it to have this host readmitted")})
		return
	}
	if findHost(group, n.cfg.ID, n.store.identity.GetFolder()) == nil {
		n.fail(&Error{Op: "meet", Kind: n.replacedKind(), Err: eris.New("the group has gone on without this data folder; empty it to have this host readmitted")})
	}
}

// otherGroupKind returns the kind of error for a host that meets the leader of
// another group. The data folder may be reset only if its own group has not
// committed anything beyond its creation.
func (n *Node) otherGroupKind() Kind {
	if n.commit <= 1 {
		return n.replacedKind()
	}
	return KindForeign
}

func (n *Node) replacedKind() Kind {
	if n.cfg.usesSeeds() {
		return KindReplaced
	}
	return KindForeign
}

// joinGroup makes this host, whose data folder is new, a member of a group that
// lists it.
func (n *Node) joinGroup(group uint64) {
	if err := n.store.joinGroup(group, &wire.LogSnapshot{}); err != nil {
		n.fail(err)
		return
	}
	n.leaderHeardAt = time.Time{}
	n.logEvent(event.GroupJoined, slog.Uint64("group", group), slog.Uint64("folder", n.store.identity.GetFolder()))
}

// Meet implements wire.Quorum.
func (n *Node) Meet(ctx context.Context, q *wire.MeetRequest) (*wire.MeetReply, error) {
	return callInLoop(ctx, n, func() *wire.MeetReply { return n.handleMeet(q) })
}

func (n *Node) handleMeet(q *wire.MeetRequest) *wire.MeetReply {
	now := n.cfg.Now()
	n.addKnown(q.GetAddress())
	reply := &wire.MeetReply{Id: n.cfg.ID, Folder: n.store.identity.GetFolder(), Address: n.cfg.Address}
	if n.cfg.usesSeeds() {
		reply.Known = n.addresses()
	}
	if n.store.isNew() {
		reply.Founds = n.store.identity.GetFounds()
		if q.GetGroup() != 0 {
			n.nextMeetAt = now
		}
		return reply
	}
	reply.Group = n.appliedGroup
	if reply.Group == nil {
		reply.Group = &wire.LogGroup{Id: n.store.identity.GetGroup()}
	}
	reply.Leader = n.isCurrentLeader(now)
	if q.GetGroup() == 0 && reply.Leader && !q.GetRelay() {
		n.admitNewFolder(q)
	}
	return reply
}

// admitNewFolder adds a host with a new data folder to the group as a learner.
// Without seeds only a host that the group already lists is admitted.
func (n *Node) admitNewFolder(q *wire.MeetRequest) {
	i := slices.IndexFunc(n.group.GetHosts(), func(h *wire.LogHost) bool { return h.GetId() == q.GetId() })
	if i < 0 && (!n.cfg.usesSeeds() || q.GetAddress() == "") {
		return
	}
	group, address := n.group, q.GetAddress()
	if i >= 0 {
		host := group.GetHosts()[i]
		if host.GetFolder() == q.GetFolder() {
			return
		}
		if !n.cfg.usesSeeds() || address == "" {
			address = host.GetAddress()
		}
	} else {
		group = withoutAddress(group, address)
	}
	if i < 0 && len(group.GetHosts()) >= maxMembers || q.GetFolder() == 0 {
		return
	}
	if n.proposeGroup(withHost(group, q.GetId(), address, q.GetFolder()), nil) == nil {
		n.logEvent(event.HostRejoined, slog.String("host", q.GetId()), slog.String("address", address),
			slog.Uint64("folder", q.GetFolder()), slog.Bool("known", i >= 0))
	}
}
