package quorum

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// load reads a data folder that belongs to a group and rewrites its files. Data
// that an earlier process failed to sync may exist only in the page cache, and
// rewriting makes it durable.
func (s *store) load() error {
	for _, file := range []struct {
		name    string
		message proto.Message
	}{{voteFile, s.vote}, {snapshotFile, s.snapshot}} {
		found, err := s.readMessage(file.name, file.message)
		if err != nil {
			return err
		}
		if !found {
			return corruptError(file.name, "the file is missing")
		}
		if err := s.writeMessage(file.name, file.message); err != nil {
			return err
		}
	}
	b, err := s.folder.Read(logFile)
	if isNotExist(err) {
		return corruptError(logFile, "the file is missing")
	}
	if err != nil {
		return storageError("read", err)
	}
	if err := s.readLog(b); err != nil {
		return err
	}
	return s.rewriteLog()
}

// readLog reads the entries of a log file. An incomplete last frame is dropped,
// since it was never synced. Entries that follow an entry in conflict with the
// snapshot are dropped too.
func (s *store) readLog(b []byte) error {
	var last uint64
	conflictsWithSnapshot := false
	for offset := 0; offset < len(b); {
		payload, next, err := readFrame(b, offset)
		if errors.Is(err, errTorn) {
			return nil
		}
		if err != nil {
			return corruptError(logFile, "at byte %d: %v", offset, err)
		}
		e := &wire.LogEntry{}
		if err := proto.Unmarshal(payload, e); err != nil {
			return corruptError(logFile, "at byte %d: %v", offset, err)
		}
		if e.GetIndex() == 0 || last != 0 && e.GetIndex() > last+1 {
			return corruptError(logFile, "at byte %d: index %d follows index %d", offset, e.GetIndex(), last)
		}
		last = e.GetIndex()
		offset = next
		if last <= s.snapshot.GetIndex() {
			s.entries = nil
			conflictsWithSnapshot = last == s.snapshot.GetIndex() && e.GetTerm() != s.snapshot.GetTerm()
			continue
		}
		if conflictsWithSnapshot {
			continue
		}
		if last > s.lastIndex()+1 || e.GetTerm() < s.termAt(last-1) {
			return corruptError(logFile, "index %d of term %d follows index %d of term %d", last, e.GetTerm(), s.lastIndex(), s.lastTerm())
		}
		s.truncateAndAppend(e)
	}
	return nil
}
