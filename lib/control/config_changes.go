package control

import (
	"bytes"
	"crypto/sha256"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Reasons for refusing a change.
const (
	reasonBaseNotInForce = "baseNotInForce"
	reasonChangeIDReused = "changeIdReused"
	reasonInvalid        = "invalidConfiguration"
)

// latestChange returns the newest change without its content, or an empty
// change if there is none.
func (m *machine) latestChange() *wire.Change {
	if n := len(m.state.GetChanges()); n > 0 {
		return m.state.Changes[n-1].GetChange()
	}
	return &wire.Change{}
}

// changeByID returns the change with an id, nil if unknown.
func (m *machine) changeByID(id string) *wire.Change {
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

// publish accepts a change if it is based on the newest version. A change whose
// id is known is not accepted again. A change that declares its own version is
// accepted if that version is the highest so far, and otherwise acknowledged
// without effect.
func (m *machine) publish(index uint64, at int64, q *wire.PublishRequest) *wire.PublishReply {
	digest := contentDigest(q)
	if declared := q.GetDeclaredVersion(); declared > 0 {
		if version := m.latestChange().GetVersion(); declared <= version {
			return &wire.PublishReply{Accepted: true, Version: version}
		}
		return m.accept(index, at, declared, digest, q)
	}
	if old := m.changeByID(q.GetChangeId()); old != nil {
		return repeatedReply(old, digest)
	}
	latestChange := m.latestChange()
	if q.GetBaseVersion() != latestChange.GetVersion() {
		return &wire.PublishReply{
			Version:        latestChange.GetVersion(),
			Winner:         latestChange.GetAuthor(),
			WinnerChangeId: latestChange.GetChangeId(),
			Reason:         reasonBaseNotInForce,
		}
	}
	return m.accept(index, at, latestChange.GetVersion()+1, digest, q)
}

// accept records a change and makes its content the active configuration.
func (m *machine) accept(index uint64, at int64, version uint64, digest []byte, q *wire.PublishRequest) *wire.PublishReply {
	change := &wire.Change{
		Version:          version,
		ChangeId:         q.GetChangeId(),
		Author:           q.GetAuthor(),
		AcceptedAtMillis: at,
		Digest:           digest,
	}
	m.state.Version = index
	m.activeConfig = &wire.Configuration{Version: change.GetVersion(), Services: q.GetServices(), Teams: q.GetTeams(), CallerLimits: q.GetCallerLimits()}
	m.dropSource()
	m.state.Changes = append(m.state.Changes, &wire.KeptChange{Change: change, Content: encode(m.activeConfig), Source: q.GetSource()})
	m.trimChanges()
	m.setPublished()
	return &wire.PublishReply{Accepted: true, Version: change.GetVersion()}
}

// publishedChange is the newest change as this host knows it, which may be outdated.
type publishedChange struct {
	config *wire.Configuration
	source []byte
	// retainedBytes is the size of all contents that are retained.
	retainedBytes int64
}

// setPublished makes the newest change known to other goroutines.
func (m *machine) setPublished() {
	p := &publishedChange{config: m.activeConfig, source: m.newest().GetSource()}
	for _, kept := range m.state.GetChanges() {
		p.retainedBytes += int64(len(kept.GetContent()))
	}
	m.published.Store(p)
}

// dropSource drops the source document of the newest change, which is about to
// be superseded.
func (m *machine) dropSource() {
	n := len(m.state.GetChanges())
	if n == 0 || m.state.Changes[n-1].Source == nil {
		return
	}
	old := m.state.Changes[n-1]
	m.state.Changes[n-1] = &wire.KeptChange{Change: old.GetChange(), Content: old.GetContent()}
}

// newest returns the version and the source document of the newest change.
func (m *machine) newest() *wire.NewestReply {
	reply := &wire.NewestReply{Version: m.latestChange().GetVersion()}
	if n := len(m.state.GetChanges()); n > 0 {
		reply.Source = m.state.Changes[n-1].GetSource()
	}
	return reply
}

// repeatedReply answers a change whose id is known: with the original reply if
// the content is the same, otherwise with a refusal.
func repeatedReply(old *wire.Change, digest []byte) *wire.PublishReply {
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

// contentDigest returns a digest of a change's content, to detect reuse of a
// change id.
func contentDigest(q *wire.PublishRequest) []byte {
	content := &wire.PublishRequest{BaseVersion: q.GetBaseVersion(), Services: q.GetServices(), Teams: q.GetTeams(), CallerLimits: q.GetCallerLimits()}
	sum := sha256.Sum256(encode(content))
	return sum[:]
}

// trimChanges drops the content of old changes beyond maxRetainedContents or
// maxRetainedContentBytes, and removes the oldest changes beyond maxChanges.
func (m *machine) trimChanges() {
	changes := m.state.GetChanges()
	if n := len(changes) - maxChanges; n > 0 {
		changes = slices.Clone(changes[n:])
	}
	totalBytes := 0
	for i, kept := range slices.Backward(changes) {
		totalBytes += len(kept.GetContent())
		age := len(changes) - 1 - i
		if kept.Content == nil {
			break
		}
		if age >= maxRetainedContents || age > 0 && totalBytes > maxRetainedContentBytes {
			changes[i] = &wire.KeptChange{Change: kept.GetChange()}
		}
	}
	m.state.Changes = changes
}

// changesSince returns up to limit changes from the given version on, or all
// of them if limit is 0. Their contents are still encoded: see decodeChanges.
func (m *machine) changesSince(version uint64, limit int) []*wire.KeptChange {
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

// decodeChanges decodes the contents of retained changes.
func decodeChanges(kept []*wire.KeptChange) ([]*wire.Change, error) {
	var changes []*wire.Change
	for _, one := range kept {
		change := proto.CloneOf(one.GetChange())
		change.Dropped = one.Content == nil
		content, err := decodeConfiguration(one.GetContent())
		if err != nil {
			return nil, err
		}
		change.Services = content.GetServices()
		change.Teams = content.GetTeams()
		change.CallerLimits = content.GetCallerLimits()
		changes = append(changes, change)
	}
	return changes, nil
}

func decodeConfiguration(content []byte) (*wire.Configuration, error) {
	configuration := &wire.Configuration{}
	if err := proto.Unmarshal(content, configuration); err != nil {
		return nil, &Error{Op: "decode", Kind: KindState, Err: eris.Wrap(err, "a retained change cannot be decoded")}
	}
	return configuration, nil
}

// encode encodes a message deterministically. It panics on failure, which
// valid messages of the schema cannot cause.
func encode(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}
