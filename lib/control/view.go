package control

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// complete lists the members of a view that hold the whole shard.
func complete(view *wire.View) []*wire.Incarnation {
	if view.GetPrimary() == nil {
		return nil
	}
	return append([]*wire.Incarnation{view.GetPrimary()}, view.GetBackups()...)
}

// everyone lists the members of a view, those that still copy included.
func everyone(view *wire.View) []*wire.Incarnation {
	return append(complete(view), view.GetJoining()...)
}

func contains(view *wire.View, who *wire.Incarnation) bool {
	return has(everyone(view), who)
}

func has(list []*wire.Incarnation, who *wire.Incarnation) bool {
	return slices.ContainsFunc(list, func(one *wire.Incarnation) bool { return wire.Same(one, who) })
}

func remove(list []*wire.Incarnation, who *wire.Incarnation) []*wire.Incarnation {
	return slices.DeleteFunc(slices.Clone(list), func(one *wire.Incarnation) bool { return wire.Same(one, who) })
}

// next returns a copy of view under the epoch after it.
func next(view *wire.View) *wire.View {
	view = proto.CloneOf(view)
	view.Epoch++
	return view
}

// without returns the next view that lacks one member. The first backup takes
// a lost primary's place; the primary is nil where no complete member is left.
func without(view *wire.View, who *wire.Incarnation) *wire.View {
	view = next(view)
	view.Joining = remove(view.GetJoining(), who)
	view.Backups = remove(view.GetBackups(), who)
	if !wire.Same(view.GetPrimary(), who) {
		return view
	}
	view.Primary = nil
	if len(view.GetBackups()) > 0 {
		view.Primary = view.Backups[0]
		view.Backups = view.Backups[1:]
	}
	return view
}

// withPrimary returns the next view in which a backup is the primary.
func withPrimary(view *wire.View, who *wire.Incarnation) *wire.View {
	view = next(view)
	view.Backups = append(remove(view.GetBackups(), who), view.GetPrimary())
	view.Primary = who
	return view
}

// withJoining returns the next view in which one more agent copies the shard.
func withJoining(view *wire.View, who *wire.Incarnation) *wire.View {
	view = next(view)
	view.Joining = append(view.GetJoining(), who)
	return view
}

// withBackup returns the next view in which a joining member is complete.
func withBackup(view *wire.View, who *wire.Incarnation) *wire.View {
	view = next(view)
	view.Joining = remove(view.GetJoining(), who)
	view.Backups = append(view.GetBackups(), who)
	return view
}
