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

// maxKnownAddresses is the maximum number of addresses that a host remembers
// besides those of its group. It also bounds the candidates of a founderChoice.
const maxKnownAddresses = 32

// startMeetRound starts a round of Meet calls, which ask the other hosts which
// group they belong to.
func (n *Node) startMeetRound() {
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

// meetTargets returns the hosts to which Meet calls are sent.
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
	all := slices.Concat(n.seeds, n.knownAddresses)
	for _, host := range n.group.GetHosts() {
		all = append(all, host.GetAddress())
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(address string) bool { return address == "" })
}

// addKnownAddresses remembers addresses of other hosts. It is used only with
// seeds.
func (n *Node) addKnownAddresses(addresses ...string) {
	if !n.cfg.usesSeeds() {
		return
	}
	for _, address := range addresses {
		if address == "" || address == n.cfg.Address || slices.Contains(n.knownAddresses, address) {
			continue
		}
		n.knownAddresses = append(n.knownAddresses, address)
		if len(n.knownAddresses) > maxKnownAddresses {
			n.knownAddresses = slices.Clone(n.knownAddresses[1:])
		}
		if n.store.isNew() {
			n.nextMeetAt = n.cfg.Now()
		}
	}
}

// SetSeeds replaces the seeds. An empty list is ignored.
func (n *Node) SetSeeds(ctx context.Context, seeds []string) error {
	return n.runInLoop(ctx, func() error {
		if n.cfg.usesSeeds() && len(seeds) > 0 {
			n.seeds = slices.Clone(seeds)
			n.nextMeetAt = n.cfg.Now()
		}
		return nil
	})
}

// meetCall asks one host which group it belongs to.
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
	n.addKnownAddresses(reply.GetKnown()...)
	for _, host := range group.GetHosts() {
		n.addKnownAddresses(host.GetAddress())
	}
	if !n.store.isNew() {
		if c.q.GetGroup() != 0 {
			n.checkStillMember(reply)
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

// checkStillMember stops the node if a leader replies whose group is another one
// or no longer includes this data folder.
func (n *Node) checkStillMember(reply *wire.MeetReply) {
	group := reply.GetGroup()
	if !reply.GetLeader() {
		return
	}
	if group.GetId() != n.store.identity.GetGroup() {
		n.fail(&Error{Op: "meet", Kind: n.otherGroupKind(), Err: eris.New("the data folder belongs to another group; empty it to have this host readmitted")})
		return
	}
	if findHost(group, n.cfg.ID, n.store.identity.GetFolder()) == nil {
		n.fail(&Error{Op: "meet", Kind: n.removedFolderKind(), Err: eris.New("the group has gone on without this data folder; empty it to have this host readmitted")})
	}
}

// otherGroupKind returns the kind of error for a host that meets the leader of
// another group. The data folder may be reset only if its own group has not
// committed anything beyond its creation.
func (n *Node) otherGroupKind() Kind {
	if n.commit <= 1 {
		return n.removedFolderKind()
	}
	return KindForeign
}

// removedFolderKind returns the kind of error for a data folder that its group
// no longer includes. Only with seeds may the folder be reset automatically.
func (n *Node) removedFolderKind() Kind {
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
	n.addKnownAddresses(q.GetAddress())
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
	if i < 0 && len(group.GetHosts()) >= maxAutomaticMembers || q.GetFolder() == 0 {
		return
	}
	if n.proposeGroup(withHost(group, q.GetId(), address, q.GetFolder()), nil) == nil {
		n.logEvent(event.HostRejoined, slog.String("host", q.GetId()), slog.String("address", address),
			slog.Uint64("folder", q.GetFolder()), slog.Bool("known", i >= 0))
	}
}
