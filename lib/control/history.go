package control

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Reasons for which a change is refused.
const (
	reasonBaseNotInForce = "baseNotInForce"
	reasonChangeIDReused = "changeIdReused"
	reasonInvalid        = "invalidConfiguration"
)

// configuration returns the change in force, an empty one at first.
func (m *machine) configuration() *wire.Change {
	if n := len(m.state.GetChanges()); n > 0 {
		return m.state.Changes[n-1]
	}
	return &wire.Change{}
}

// change returns the change with an id, nil where none is known.
func (m *machine) change(id string) *wire.Change {
	i := slices.IndexFunc(m.state.GetChanges(), func(c *wire.Change) bool { return c.GetChangeId() == id })
	if i < 0 {
		return nil
	}
	return m.state.Changes[i]
}

// publish accepts a change that is based on the version in force, once.
func (m *machine) publish(index uint64, at int64, q *wire.PublishRequest) *wire.PublishReply {
	digest := digestOf(q)
	if old := m.change(q.GetChangeId()); old != nil {
		return again(old, digest)
	}
	inForce := m.configuration()
	if q.GetBaseVersion() != inForce.GetVersion() {
		return &wire.PublishReply{
			Version:        inForce.GetVersion(),
			Winner:         inForce.GetAuthor(),
			WinnerChangeId: inForce.GetChangeId(),
			Reason:         reasonBaseNotInForce,
		}
	}
	change := &wire.Change{
		Version:          inForce.GetVersion() + 1,
		ChangeId:         q.GetChangeId(),
		Author:           q.GetAuthor(),
		AcceptedAtMillis: at,
		Services:         q.GetServices(),
		Teams:            q.GetTeams(),
		Digest:           digest,
	}
	m.state.Version = index
	m.state.Changes = append(m.state.Changes, change)
	m.trim()
	return &wire.PublishReply{Accepted: true, Version: change.GetVersion()}
}

// again answers a change whose id is known: as before, unless it is another
// change.
func again(old *wire.Change, digest []byte) *wire.PublishReply {
	if bytes.Equal(old.GetDigest(), digest) {
		return &wire.PublishReply{Accepted: true, Version: old.GetVersion()}
	}
	return &wire.PublishReply{
		Version:        old.GetVersion(),
		Winner:         old.GetAuthor(),
		WinnerChangeId: old.GetChangeId(),
		Reason:         reasonChangeIDReused,
	}
}

// digestOf tells the content of changes apart.
func digestOf(q *wire.PublishRequest) []byte {
	content := &wire.PublishRequest{BaseVersion: q.GetBaseVersion(), Services: q.GetServices(), Teams: q.GetTeams()}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(content)
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(b)
	return sum[:]
}

// trim drops the content of old changes, and very old changes whole.
func (m *machine) trim() {
	changes := m.state.GetChanges()
	if n := len(changes) - maxChanges; n > 0 {
		changes = slices.Clone(changes[n:])
	}
	if n := len(changes) - maxContents; n > 0 {
		old := changes[n-1]
		changes[n-1] = &wire.Change{
			Version: old.GetVersion(), ChangeId: old.GetChangeId(), Author: old.GetAuthor(),
			AcceptedAtMillis: old.GetAcceptedAtMillis(), Digest: old.GetDigest(), Dropped: true,
		}
	}
	m.state.Changes = changes
}

// since lists at most limit changes from a version on, all where limit is 0.
func (m *machine) since(version uint64, limit int) []*wire.Change {
	changes := m.state.GetChanges()
	first := slices.IndexFunc(changes, func(c *wire.Change) bool { return c.GetVersion() >= version })
	if first < 0 {
		return nil
	}
	found := changes[first:]
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return slices.Clone(found)
}
