package control

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Reasons for which a change is refused.
const (
	reasonBaseNotInForce = "baseNotInForce"
	reasonChangeIDReused = "changeIdReused"
	reasonInvalid        = "invalidConfiguration"
)

// latest returns the newest change without its content, an empty one at first.
func (m *machine) latest() *wire.Change {
	if n := len(m.state.GetChanges()); n > 0 {
		return m.state.Changes[n-1].GetChange()
	}
	return &wire.Change{}
}

// change returns the change with an id, nil where none is known.
func (m *machine) change(id string) *wire.Change {
	if id == "" {
		return nil
	}
	for _, kept := range m.state.GetChanges() {
		if kept.GetChange().GetChangeId() == id {
			return kept.GetChange()
		}
	}
	return nil
}

// publish accepts a change that is based on the version in force, once. One
// that declares its version is accepted where that is the highest, and else
// acknowledged without effect.
func (m *machine) publish(index uint64, at int64, q *wire.PublishRequest) *wire.PublishReply {
	digest := digestOf(q)
	if declared := q.GetDeclaredVersion(); declared > 0 {
		if version := m.latest().GetVersion(); declared <= version {
			return &wire.PublishReply{Accepted: true, Version: version}
		}
		return m.accept(index, at, declared, digest, q)
	}
	if old := m.change(q.GetChangeId()); old != nil {
		return again(old, digest)
	}
	latest := m.latest()
	if q.GetBaseVersion() != latest.GetVersion() {
		return &wire.PublishReply{
			Version:        latest.GetVersion(),
			Winner:         latest.GetAuthor(),
			WinnerChangeId: latest.GetChangeId(),
			Reason:         reasonBaseNotInForce,
		}
	}
	return m.accept(index, at, latest.GetVersion()+1, digest, q)
}

// accept puts a change into force.
func (m *machine) accept(index uint64, at int64, version uint64, digest []byte, q *wire.PublishRequest) *wire.PublishReply {
	change := &wire.Change{
		Version:          version,
		ChangeId:         q.GetChangeId(),
		Author:           q.GetAuthor(),
		AcceptedAtMillis: at,
		Digest:           digest,
	}
	m.state.Version = index
	m.inForce = &wire.Configuration{Version: change.GetVersion(), Services: q.GetServices(), Teams: q.GetTeams()}
	m.dropSource()
	m.state.Changes = append(m.state.Changes, &wire.KeptChange{Change: change, Content: encode(m.inForce), Source: q.GetSource()})
	m.trim()
	return &wire.PublishReply{Accepted: true, Version: change.GetVersion()}
}

// dropSource forgets the source of the change that is no longer the newest.
func (m *machine) dropSource() {
	n := len(m.state.GetChanges())
	if n == 0 || m.state.Changes[n-1].Source == nil {
		return
	}
	old := m.state.Changes[n-1]
	m.state.Changes[n-1] = &wire.KeptChange{Change: old.GetChange(), Content: old.GetContent()}
}

// newest returns the change in force as it was published.
func (m *machine) newest() *wire.NewestReply {
	reply := &wire.NewestReply{Version: m.latest().GetVersion()}
	if n := len(m.state.GetChanges()); n > 0 {
		reply.Source = m.state.Changes[n-1].GetSource()
	}
	return reply
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
	sum := sha256.Sum256(encode(content))
	return sum[:]
}

// trim drops the content of old changes, and very old changes whole.
func (m *machine) trim() {
	changes := m.state.GetChanges()
	if n := len(changes) - maxChanges; n > 0 {
		changes = slices.Clone(changes[n:])
	}
	bytes := 0
	for i, kept := range slices.Backward(changes) {
		bytes += len(kept.GetContent())
		age := len(changes) - 1 - i
		if kept.Content == nil {
			break
		}
		if age >= maxContents || age > 0 && bytes > maxContentBytes {
			changes[i] = &wire.KeptChange{Change: kept.GetChange()}
		}
	}
	m.state.Changes = changes
}

// since lists at most limit changes from a version on, all where limit is 0.
// They are still encoded: reveal makes them whole.
func (m *machine) since(version uint64, limit int) []*wire.KeptChange {
	changes := m.state.GetChanges()
	first := slices.IndexFunc(changes, func(c *wire.KeptChange) bool { return c.GetChange().GetVersion() >= version })
	if first < 0 {
		return nil
	}
	found := changes[first:]
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return slices.Clone(found)
}

// reveal decodes kept changes.
func reveal(kept []*wire.KeptChange) ([]*wire.Change, error) {
	var changes []*wire.Change
	for _, one := range kept {
		change := proto.CloneOf(one.GetChange())
		change.Dropped = one.Content == nil
		content, err := decode(one.GetContent())
		if err != nil {
			return nil, err
		}
		change.Services = content.GetServices()
		change.Teams = content.GetTeams()
		changes = append(changes, change)
	}
	return changes, nil
}

func decode(content []byte) (*wire.Configuration, error) {
	configuration := &wire.Configuration{}
	if err := proto.Unmarshal(content, configuration); err != nil {
		return nil, &Error{Op: "decode", Kind: KindState, Err: eris.Wrap(err, "a kept change cannot be read")}
	}
	return configuration, nil
}

// encode encodes a message of the schema, which cannot fail.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}
