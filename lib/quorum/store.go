package quorum

import (
	"crypto/rand"
	"encoding/binary"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Files of a data folder.
const (
	identityFile = "identity"
	voteFile     = "vote"
	logFile      = "log"
	snapshotFile = "snapshot"
)

// store persists a host's identity, vote, snapshot and log in its data folder.
// Changes are held in memory until flush writes and syncs them.
type store struct {
	folder   Folder
	identity *wire.LogIdentity
	vote     *wire.LogVote
	snapshot *wire.LogSnapshot
	// entries are those after the snapshot, without gaps.
	entries  []*wire.LogEntry
	logBytes int

	voteDirty bool
	unsynced  []byte
}

// openStore reads a data folder. An empty one is initialised for the host;
// mayBootstrap tells whether the host may then bootstrap a group.
func openStore(folder Folder, host string, mayBootstrap bool) (*store, error) {
	s := &store{folder: folder, identity: &wire.LogIdentity{}, vote: &wire.LogVote{}, snapshot: &wire.LogSnapshot{}}
	found, err := s.readMessage(identityFile, s.identity)
	if err != nil {
		return nil, err
	}
	if !found {
		s.identity = &wire.LogIdentity{Host: host, Folder: randomID(), Founds: mayBootstrap}
		return s, s.writeMessage(identityFile, s.identity)
	}
	if s.identity.GetHost() != host {
		return nil, &Error{Op: "open", Kind: KindForeign, Err: eris.Errorf("the data folder is that of host %s", s.identity.GetHost())}
	}
	if s.identity.GetGroup() == 0 {
		return s, nil
	}
	return s, s.load()
}

// resetFolder initialises a data folder, whatever it holds. The host cannot
// bootstrap a group with it.
func resetFolder(folder Folder, host string) error {
	s := &store{folder: folder}
	return s.writeMessage(identityFile, &wire.LogIdentity{Host: host, Folder: randomID()})
}

// isNew reports whether the data folder belongs to no group yet.
func (s *store) isNew() bool { return s.identity.GetGroup() == 0 }

// joinGroup makes a new data folder part of a group. The identity is written
// last, so that a folder that names a group has all other files.
func (s *store) joinGroup(group uint64, snapshot *wire.LogSnapshot) error {
	s.vote = &wire.LogVote{}
	s.snapshot = snapshot
	identity := &wire.LogIdentity{Host: s.identity.GetHost(), Folder: s.identity.GetFolder(), Group: group}
	for _, write := range []func() error{
		func() error { return s.writeMessage(voteFile, s.vote) },
		func() error { return s.writeMessage(snapshotFile, s.snapshot) },
		func() error { return s.rewriteLog() },
		func() error { return s.writeMessage(identityFile, identity) },
	} {
		if err := write(); err != nil {
			return err
		}
	}
	s.identity = identity
	return nil
}

func (s *store) lastIndex() uint64 {
	return s.snapshot.GetIndex() + uint64(len(s.entries))
}

func (s *store) lastTerm() uint64 {
	return s.termAt(s.lastIndex())
}

// termAt returns the term of the entry at index, or 0 if it is not stored.
func (s *store) termAt(index uint64) uint64 {
	if index == s.snapshot.GetIndex() {
		return s.snapshot.GetTerm()
	}
	if e := s.entry(index); e != nil {
		return e.GetTerm()
	}
	return 0
}

// entry returns the entry at index, or nil if it is not stored.
func (s *store) entry(index uint64) *wire.LogEntry {
	if index <= s.snapshot.GetIndex() || index > s.lastIndex() {
		return nil
	}
	return s.entries[index-s.snapshot.GetIndex()-1]
}

// entriesFrom returns the entries from index on, up to about maxBytes.
func (s *store) entriesFrom(index uint64, maxBytes int) []*wire.LogEntry {
	var found []*wire.LogEntry
	for e := s.entry(index); e != nil; e = s.entry(index) {
		found = append(found, e)
		maxBytes -= proto.Size(e)
		if maxBytes < 0 {
			break
		}
		index++
	}
	return found
}

// append appends an entry. If its index is already taken, the entries from
// there on are dropped.
func (s *store) append(e *wire.LogEntry) {
	s.truncateAndAppend(e)
	before := len(s.unsynced)
	s.unsynced = appendFrame(s.unsynced, marshal(e))
	s.logBytes += len(s.unsynced) - before
}

func (s *store) truncateAndAppend(e *wire.LogEntry) {
	keep := e.GetIndex() - s.snapshot.GetIndex() - 1
	s.entries = append(s.entries[:keep], e)
}

// setVote changes term and vote. They are durable once flush returns.
func (s *store) setVote(vote *wire.LogVote) {
	s.vote = vote
	s.voteDirty = true
}

// flush writes and syncs all changes since the last flush.
func (s *store) flush() error {
	if s.voteDirty {
		if err := s.writeMessage(voteFile, s.vote); err != nil {
			return err
		}
		s.voteDirty = false
	}
	if len(s.unsynced) == 0 {
		return nil
	}
	if err := s.folder.Append(logFile, s.unsynced); err != nil {
		return storageError("append", err)
	}
	s.unsynced = s.unsynced[:0]
	return nil
}

// compact replaces the entries up to a snapshot's index with the snapshot.
// Later entries are kept if they are consistent with it.
func (s *store) compact(snapshot *wire.LogSnapshot) error {
	var rest []*wire.LogEntry
	if s.termAt(snapshot.GetIndex()) == snapshot.GetTerm() && snapshot.GetIndex() < s.lastIndex() {
		rest = slices.Clone(s.entries[snapshot.GetIndex()-s.snapshot.GetIndex():])
	}
	if err := s.writeMessage(snapshotFile, snapshot); err != nil {
		return err
	}
	s.snapshot = snapshot
	s.entries = rest
	return s.rewriteLog()
}

func (s *store) rewriteLog() error {
	var b []byte
	for _, e := range s.entries {
		b = appendFrame(b, marshal(e))
	}
	if err := s.folder.Replace(logFile, b); err != nil {
		return storageError("replace", err)
	}
	s.logBytes = len(b)
	s.unsynced = nil
	return nil
}

func (s *store) readMessage(name string, m proto.Message) (bool, error) {
	b, err := s.folder.Read(name)
	if isNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, storageError("read", err)
	}
	payload, next, err := readFrame(b, 0)
	if err != nil || next != len(b) {
		return false, corruptError(name, "invalid frame")
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return false, corruptError(name, "%v", err)
	}
	return true, nil
}

func (s *store) writeMessage(name string, m proto.Message) error {
	if err := s.folder.Replace(name, appendFrame(nil, marshal(m))); err != nil {
		return storageError("replace", err)
	}
	return nil
}

// marshal encodes a message deterministically. It panics on an error, which the
// messages of this package cannot cause.
func marshal(m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// randomID returns a random id other than 0, which stands for none.
func randomID() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}
