package quorum

import (
	"log/slog"
	"slices"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// foundIfFirst founds the group of the peers once each has said that it has
// none. A host that lost its folder cannot do so by itself: the others know a
// group.
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

// foundFromSeeds founds the group of the seeds with a disk, once each has said
// in one round that it has none. The one that may found and has the lowest
// address does. Every group that is founded so has the same hosts, and a
// folder joins one group only: at most one of them ever has a quorum.
func (n *Node) foundFromSeeds() {
	if !n.store.fresh() || !n.store.identity.GetFounds() {
		return
	}
	if n.chosen() {
		n.found(nil)
		return
	}
	if !slices.Contains(n.seeds, n.cfg.Address) {
		return
	}
	var hosts []*wire.LogHost
	for _, address := range n.seeds {
		if address == n.cfg.Address {
			continue
		}
		reply := n.meets[address]
		if reply == nil || reply.GetFounds() && address < n.cfg.Address || !n.steady(address, reply) {
			return
		}
		if !reply.GetRelay() {
			hosts = append(hosts, &wire.LogHost{Id: reply.GetId(), Address: address, Folder: reply.GetFolder(), Voter: true})
		}
	}
	n.found(hosts)
}

// chosen tells whether no seed has a disk and the relays behind them have fixed
// this host as the founder. They never fix two.
func (n *Node) chosen() bool {
	for _, seed := range n.seeds {
		reply := n.meets[seed]
		if reply.GetRelay() && reply.GetFixed() && reply.GetFounder().GetFolder() == n.store.identity.GetFolder() {
			return true
		}
	}
	return false
}

// steady tells whether a host counts as one that knows no group. One that lost
// its folder may have founded before: it counts only if it had the new folder
// in the round before this one, as then no host was in its old group.
func (n *Node) steady(address string, reply *wire.MeetReply) bool {
	return reply.GetRelay() || reply.GetFounds() || n.metBefore[address].GetFolder() == reply.GetFolder()
}

// found makes this host and the given others a group.
func (n *Node) found(others []*wire.LogHost) {
	self := &wire.LogHost{Id: n.cfg.ID, Address: n.cfg.Address, Folder: n.store.identity.GetFolder(), Voter: true}
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
	n.note(event.GroupFounded, slog.Uint64("group", group.GetId()), slog.Int("hosts", len(group.GetHosts())))
	n.commit, n.applied, n.appliedGroup = 1, 1, group
	n.findGroup()
	n.campaignAt = n.cfg.Now().Add(n.cfg.Timing.Election / 4)
	n.meet()
}
