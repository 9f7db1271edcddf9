package job

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"skylarklane.example/lib/wire"
)

const (
	// ownersPerID is how many members own an id, so that the claims outlive one of them.
	ownersPerID = 2
	// ownersAtStart is how many members a member that has started asks: others may have
	// a directory without the members that have joined lately, of which the owners come
	// next in the order.
	ownersAtStart = 6
)

// maxOwners bounds the members that own ids, and so the connections of each member.
const maxOwners = 16

// ownerView is a set of members that own the ids of jobs.
type ownerView struct {
	// members are those with the lowest hashes, in their order, and hashes are those of
	// their ids.
	members []*wire.Member
	hashes  []uint64
}

// newOwnerView returns the view of the members that answer.
func newOwnerView(members []*wire.Member, answers func(*wire.Member) bool) *ownerView {
	type hashed struct {
		*wire.Member
		hash uint64
	}
	all := make([]hashed, 0, len(members))
	for _, m := range members {
		all = append(all, hashed{m, hashOf(m.GetIncarnation().GetId())})
	}
	slices.SortFunc(all, func(a, b hashed) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.GetIncarnation().GetId(), b.GetIncarnation().GetId()))
	})
	v := &ownerView{}
	for _, m := range all {
		if len(v.members) < maxOwners && answers(m.Member) {
			v.members = append(v.members, m.Member)
			v.hashes = append(v.hashes, m.hash)
		}
	}
	return v
}

// owners returns the n members that come first for the id with a hash, by rendezvous
// hashing: the loss of a member moves its own ids only. There are fewer if there are
// fewer members.
func (v *ownerView) owners(idHash uint64, n int) []*wire.Member {
	var found [maxOwners]int
	order := found[:0]
	for i := range v.members {
		order = append(order, i)
	}
	slices.SortFunc(order, func(i, j int) int {
		return cmp.Compare(mix(v.hashes[j]^idHash), mix(v.hashes[i]^idHash))
	})
	var owners []*wire.Member
	for _, i := range order[:min(n, len(order))] {
		owners = append(owners, v.members[i])
	}
	return owners
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix is the finalizer of MurmurHash3 for 64 bits: each bit of x changes half of the
// result's bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// equal reports whether two views have the same incarnations.
func (v *ownerView) equal(other *ownerView) bool {
	return slices.EqualFunc(v.members, other.members, func(a, b *wire.Member) bool { return wire.Same(a.GetIncarnation(), b.GetIncarnation()) })
}
