package quorum

import (
	"log/slog"
	"slices"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// bootstrapFromPeers creates the group of the peers once every peer has replied
// that it belongs to no group. Only the peer with the lowest id does so. A host
// that lost its data folder cannot create a second group by itself, because the
// other peers then reply with the existing one.
func (n *Node) bootstrapFromPeers() {
	var hosts []*wire.LogHost
	for _, peer := range n.cfg.Peers {
		if peer.GetId() < n.cfg.ID {
			return
		}
		reply := n.meetReplies[peer.GetId()]
		if peer.GetId() == n.cfg.ID {
			continue
		}
		if reply == nil {
			return
		}
		hosts = append(hosts, &wire.LogHost{Id: peer.GetId(), Address: peer.GetAddress(), Folder: reply.GetFolder(), Voter: true})
	}
	n.bootstrap(hosts)
}

// bootstrapFromSeeds creates a group of the seeds that have a disk, once every
// seed has replied in the same round that it belongs to no group. Of the seeds
// that may do so, the one with the lowest address creates it. All groups
// created this way have the same hosts, and a data folder joins only one group,
// so at most one of these groups ever has a quorum.
func (n *Node) bootstrapFromSeeds() {
	if !n.store.isNew() || !n.store.identity.GetFounds() {
		return
	}
	if n.isChosenFounder() {
		n.bootstrap(nil)
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
		reply := n.meetReplies[address]
		if reply == nil || reply.GetFounds() && address < n.cfg.Address || !n.isSafeFoundingMember(address, reply) {
			return
		}
		if !reply.GetRelay() {
			hosts = append(hosts, &wire.LogHost{Id: reply.GetId(), Address: address, Folder: reply.GetFolder(), Voter: true})
		}
	}
	n.bootstrap(hosts)
}

// isChosenFounder reports whether a relay at a seed address has made the final
// choice of this host as the founder. Relays never choose two different hosts.
func (n *Node) isChosenFounder() bool {
	for _, seed := range n.seeds {
		reply := n.meetReplies[seed]
		if reply.GetRelay() && reply.GetFixed() && reply.GetFounder().GetFolder() == n.store.identity.GetFolder() {
			return true
		}
	}
	return false
}

// isSafeFoundingMember reports whether a reply from a host that belongs to no
// group may count towards bootstrapping. Relays, and hosts that may bootstrap
// themselves, always count. Any other host may have lost its data folder and
// been in a group before. It counts only if it reported the same new folder in
// the previous round too. The replies of one round are sent at different times,
// but hosts without a group in two rounds all had none at the same moment,
// between the rounds.
func (n *Node) isSafeFoundingMember(address string, reply *wire.MeetReply) bool {
	return reply.GetRelay() || reply.GetFounds() || n.previousMeetReplies[address].GetFolder() == reply.GetFolder()
}

// bootstrap creates a group of this host and the given others.
func (n *Node) bootstrap(others []*wire.LogHost) {
	self := &wire.LogHost{Id: n.cfg.ID, Address: n.cfg.Address, Folder: n.store.identity.GetFolder(), Voter: true}
	for _, peer := range n.cfg.Peers {
		if peer.GetId() == n.cfg.ID {
			self.Address = peer.GetAddress()
		}
	}
	group := &wire.LogGroup{Id: randomID(), Hosts: slices.Insert(others, 0, self)}
	if err := n.store.joinGroup(group.GetId(), &wire.LogSnapshot{Index: 1, Term: 1, Group: group}); err != nil {
		n.fail(err)
		return
	}
	n.logEvent(event.GroupFounded, slog.Uint64("group", group.GetId()), slog.Int("hosts", len(group.GetHosts())))
	n.commit, n.applied, n.appliedGroup = 1, 1, group
	n.loadNewestGroup()
	n.campaignAt = n.cfg.Now().Add(n.cfg.Timing.Election / 4)
	n.startMeetRound()
}
