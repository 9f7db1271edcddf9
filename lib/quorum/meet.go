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

// maxKnown bounds the addresses that a host remembers besides its group's.
const maxKnown = 32

// meet asks the other hosts for the group.
func (n *Node) meet() {
	n.meetRound++
	n.metBefore = n.meets
	n.meets = map[string]*wire.MeetReply{}
	request := &wire.MeetRequest{
		Id: n.cfg.ID, Folder: n.store.identity.GetFolder(), Group: n.store.identity.GetGroup(), Address: n.cfg.Address,
		Founds: n.store.fresh() && n.store.identity.GetFounds(),
	}
	for _, host := range n.contacts() {
		n.output(func() { go (&meetCall{n, host, request, n.meetRound}).run(n.ctx) })
	}
}

// contacts lists whom to ask for the group.
func (n *Node) contacts() []*wire.LogHost {
	if !n.cfg.seeded() {
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

// addresses lists the hosts that this one knows of, each once.
func (n *Node) addresses() []string {
	all := slices.Concat(n.seeds, n.known)
	for _, host := range n.group.GetHosts() {
		all = append(all, host.GetAddress())
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(address string) bool { return address == "" })
}

// remember keeps addresses of other hosts.
func (n *Node) remember(addresses ...string) {
	if !n.cfg.seeded() {
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
		if n.store.fresh() {
			n.meetAt = n.cfg.Now()
		}
	}
}

// SetSeeds puts other seeds in the place of the ones in force.
func (n *Node) SetSeeds(ctx context.Context, seeds []string) error {
	return n.do(ctx, func() error {
		if n.cfg.seeded() && len(seeds) > 0 {
			n.seeds = slices.Clone(seeds)
			n.meetAt = n.cfg.Now()
		}
		return nil
	})
}

// meetCall asks one host for the group.
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
		c.n.post(func() { c.n.takeMeet(c, reply) })
	}
}

func (n *Node) takeMeet(c *meetCall, reply *wire.MeetReply) {
	group := reply.GetGroup()
	n.remember(reply.GetKnown()...)
	for _, host := range group.GetHosts() {
		n.remember(host.GetAddress())
	}
	if !n.store.fresh() {
		if c.q.GetGroup() != 0 {
			n.checkReplaced(reply)
		}
		return
	}
	if c.q.GetFolder() != n.store.identity.GetFolder() {
		return
	}
	if reply.GetLeader() {
		n.met = &wire.LogHost{Id: reply.GetId(), Address: reply.GetAddress()}
		n.metAt = n.cfg.Now()
	}
	if group == nil {
		n.noteFresh(c, reply)
		return
	}
	if hostOf(group, n.cfg.ID, n.store.identity.GetFolder()) != nil {
		n.adopt(group.GetId())
	}
}

// noteFresh takes note of a host that knows no group either.
func (n *Node) noteFresh(c *meetCall, reply *wire.MeetReply) {
	if c.round != n.meetRound {
		return
	}
	if n.cfg.seeded() {
		n.meets[c.host.GetAddress()] = reply
		n.foundFromSeeds()
		return
	}
	n.meets[reply.GetId()] = reply
	n.foundIfFirst()
}

// checkReplaced stops a host whose place another folder has taken.
func (n *Node) checkReplaced(reply *wire.MeetReply) {
	group := reply.GetGroup()
	if !reply.GetLeader() {
		return
	}
	if group.GetId() != n.store.identity.GetGroup() {
		n.fail(&Error{Op: "meet", Kind: n.otherGroup(), Err: eris.New("the data folder belongs to another group; empty it to have this host readmitted")})
		return
	}
	if hostOf(group, n.cfg.ID, n.store.identity.GetFolder()) == nil {
		n.fail(&Error{Op: "meet", Kind: n.replaced(), Err: eris.New("the group has gone on without this data folder; empty it to have this host readmitted")})
	}
}

// otherGroup is the kind of error of a host that meets the leader of another
// group. Its folder may be given up only where its own group decided nothing.
func (n *Node) otherGroup() Kind {
	if n.commit <= 1 {
		return n.replaced()
	}
	return KindForeign
}

func (n *Node) replaced() Kind {
	if n.cfg.seeded() {
		return KindReplaced
	}
	return KindForeign
}

// adopt makes this host, whose folder is new, part of a group that lists it.
func (n *Node) adopt(group uint64) {
	if err := n.store.adopt(group, &wire.LogSnapshot{}); err != nil {
		n.fail(err)
		return
	}
	n.heardAt = time.Time{}
	n.note(event.GroupJoined, slog.Uint64("group", group), slog.Uint64("folder", n.store.identity.GetFolder()))
}

// Meet implements wire.Quorum.
func (n *Node) Meet(ctx context.Context, q *wire.MeetRequest) (*wire.MeetReply, error) {
	return answer(ctx, n, func() *wire.MeetReply { return n.answerMeet(q) })
}

func (n *Node) answerMeet(q *wire.MeetRequest) *wire.MeetReply {
	now := n.cfg.Now()
	n.remember(q.GetAddress())
	reply := &wire.MeetReply{Id: n.cfg.ID, Folder: n.store.identity.GetFolder(), Address: n.cfg.Address}
	if n.cfg.seeded() {
		reply.Known = n.addresses()
	}
	if n.store.fresh() {
		reply.Founds = n.store.identity.GetFounds()
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
	if q.GetGroup() == 0 && reply.Leader && !q.GetRelay() {
		n.admit(q)
	}
	return reply
}

// admit lets a host that comes with a new folder follow the log: one of the
// group, or with seeds any. It has no vote until it has caught up.
func (n *Node) admit(q *wire.MeetRequest) {
	i := slices.IndexFunc(n.group.GetHosts(), func(h *wire.LogHost) bool { return h.GetId() == q.GetId() })
	if i < 0 && (!n.cfg.seeded() || q.GetAddress() == "") {
		return
	}
	group, address := n.group, q.GetAddress()
	if i >= 0 {
		host := group.GetHosts()[i]
		if host.GetFolder() == q.GetFolder() {
			return
		}
		if address == "" {
			address = host.GetAddress()
		}
	} else {
		group = withoutAddress(group, address)
	}
	if i < 0 && len(group.GetHosts()) >= maxMembers || q.GetFolder() == 0 {
		return
	}
	if n.proposeGroup(withHost(group, q.GetId(), address, q.GetFolder()), nil) == nil {
		n.note(event.HostRejoined, slog.String("host", q.GetId()), slog.String("address", address),
			slog.Uint64("folder", q.GetFolder()), slog.Bool("known", i >= 0))
	}
}
