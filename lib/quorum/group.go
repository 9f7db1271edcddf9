package quorum

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

func findHost(g *wire.LogGroup, id string, folder uint64) *wire.LogHost {
	for _, host := range g.GetHosts() {
		if host.GetId() == id && host.GetFolder() == folder {
			return host
		}
	}
	return nil
}

func countVoters(g *wire.LogGroup) int {
	n := 0
	for _, host := range g.GetHosts() {
		if host.GetVoter() {
			n++
		}
	}
	return n
}

func quorumSize(g *wire.LogGroup) int { return countVoters(g)/2 + 1 }

// withHost returns the group with a host added as a learner, replacing any host
// of the same id.
func withHost(g *wire.LogGroup, id, address string, folder uint64) *wire.LogGroup {
	g = withoutHost(g, id)
	g.Hosts = append(g.Hosts, &wire.LogHost{Id: id, Address: address, Folder: folder})
	return g
}

// withVoter returns the group with a host promoted to voter.
func withVoter(g *wire.LogGroup, id string) *wire.LogGroup {
	g = proto.CloneOf(g)
	for _, host := range g.GetHosts() {
		if host.GetId() == id {
			host.Voter = true
		}
	}
	return g
}

// withoutAddress returns the group without the host at an address.
func withoutAddress(g *wire.LogGroup, address string) *wire.LogGroup {
	g = proto.CloneOf(g)
	g.Hosts = slices.DeleteFunc(g.Hosts, func(h *wire.LogHost) bool { return h.GetAddress() == address })
	return g
}

func withoutHost(g *wire.LogGroup, id string) *wire.LogGroup {
	g = proto.CloneOf(g)
	g.Hosts = slices.DeleteFunc(g.Hosts, func(h *wire.LogHost) bool { return h.GetId() == id })
	return g
}
