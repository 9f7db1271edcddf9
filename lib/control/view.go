package control

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// completeMembers lists the members of a view that hold the whole shard.
func completeMembers(view *wire.View) []*wire.Incarnation {
	if view.GetPrimary() == nil {
		return nil
	}
	return append([]*wire.Incarnation{view.GetPrimary()}, view.GetBackups()...)
}

// allMembers lists the members of a view, including those still copying.
func allMembers(view *wire.View) []*wire.Incarnation {
	return append(completeMembers(view), view.GetJoining()...)
}

func viewContains(view *wire.View, inc *wire.Incarnation) bool {
	return contains(allMembers(view), inc)
}

func contains(list []*wire.Incarnation, inc *wire.Incarnation) bool {
	return slices.ContainsFunc(list, func(one *wire.Incarnation) bool { return wire.Same(one, inc) })
}

func remove(list []*wire.Incarnation, inc *wire.Incarnation) []*wire.Incarnation {
	return slices.DeleteFunc(slices.Clone(list), func(one *wire.Incarnation) bool { return wire.Same(one, inc) })
}

// nextEpoch returns a copy of view with its epoch incremented.
func nextEpoch(view *wire.View) *wire.View {
	view = proto.CloneOf(view)
	view.Epoch++
	return view
}

// withoutMember returns the next view without one member. The first backup
// replaces a lost primary; the primary is nil if no complete member is left.
func withoutMember(view *wire.View, inc *wire.Incarnation) *wire.View {
	view = nextEpoch(view)
	view.Joining = remove(view.GetJoining(), inc)
	view.Backups = remove(view.GetBackups(), inc)
	if !wire.Same(view.GetPrimary(), inc) {
		return view
	}
	view.Primary = nil
	if len(view.GetBackups()) > 0 {
		view.Primary = view.Backups[0]
		view.Backups = view.Backups[1:]
	}
	return view
}

// withPrimary returns the next view with a backup promoted to primary.
func withPrimary(view *wire.View, inc *wire.Incarnation) *wire.View {
	view = nextEpoch(view)
	view.Backups = append(remove(view.GetBackups(), inc), view.GetPrimary())
	view.Primary = inc
	return view
}

// withJoining returns the next view with one more agent copying the shard.
func withJoining(view *wire.View, inc *wire.Incarnation) *wire.View {
	view = nextEpoch(view)
	view.Joining = append(view.GetJoining(), inc)
	return view
}

// withBackup returns the next view with a joining member as a complete backup.
func withBackup(view *wire.View, inc *wire.Incarnation) *wire.View {
	view = nextEpoch(view)
	view.Joining = remove(view.GetJoining(), inc)
	view.Backups = append(view.GetBackups(), inc)
	return view
}
