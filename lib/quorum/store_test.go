package quorum

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

func entry(index, term uint64) *wire.LogEntry {
	return &wire.LogEntry{Index: index, Term: term, Command: fmt.Appendf(nil, "command %d", index)}
}

// newFilledFolder returns the data folder of a group with entries 2 to 9.
func newFilledFolder(t *testing.T) (*memoryFolder, *store) {
	t.Helper()
	folder := newMemoryFolder()
	s, err := openStore(folder, "a", false)
	is.New(t).NoErr(err)
	is.New(t).NoErr(s.joinGroup(7, &wire.LogSnapshot{Index: 1, Term: 1}))
	for index := range uint64(8) {
		s.append(entry(index+2, 1))
	}
	is.New(t).NoErr(s.flush())
	return folder, s
}

// TestFlippedBits flips each bit of each file in turn and checks that opening
// the folder reports corruption.
func TestFlippedBits(t *testing.T) {
	folder, _ := newFilledFolder(t)
	for _, name := range []string{identityFile, voteFile, snapshotFile, logFile} {
		for bit := range len(folder.files[name]) * 8 {
			damaged := newMemoryFolder()
			for other, b := range folder.files {
				damaged.files[other] = bytes.Clone(b)
			}
			damaged.files[name][bit/8] ^= 1 << (bit % 8)
			_, err := openStore(damaged, "a", false)
			if kindOf(err) != KindCorrupt {
				t.Fatalf("bit %d of %s: %v", bit, name, err)
			}
		}
	}
}

// TestTornTail truncates the log at each length and checks that the complete
// records are kept.
func TestTornTail(t *testing.T) {
	folder, _ := newFilledFolder(t)
	complete := bytes.Clone(folder.files[logFile])
	for length := range complete {
		folder.files[logFile] = bytes.Clone(complete[:length])
		s, err := openStore(folder, "a", false)
		is.New(t).NoErr(err)
		is.New(t).True(s.lastIndex() < 9)
		is.New(t).True(bytes.HasPrefix(complete, folder.files[logFile])) // rewritten without the incomplete record
	}
}

func TestZerosAfterCrash(t *testing.T) {
	is := is.New(t)
	folder, _ := newFilledFolder(t)
	folder.files[logFile] = append(folder.files[logFile], make([]byte, 3*sectorBytes)...)
	s, err := openStore(folder, "a", false)
	is.NoErr(err)
	is.Equal(s.lastIndex(), uint64(9))
}

func TestMissingFiles(t *testing.T) {
	for _, test := range []struct{ name string }{{voteFile}, {snapshotFile}, {logFile}} {
		folder, _ := newFilledFolder(t)
		delete(folder.files, test.name)
		_, err := openStore(folder, "a", false)
		is.New(t).Equal(kindOf(err), KindCorrupt)
	}
}

// unreadableLog is a data folder whose log cannot be read at the moment.
type unreadableLog struct{ *memoryFolder }

func (u unreadableLog) Read(name string) ([]byte, error) {
	if name == logFile {
		return nil, syscall.EMFILE
	}
	return u.memoryFolder.Read(name)
}

// TestUnreadableLog guards against giving up a good data folder: a log that
// cannot be read is not damaged.
func TestUnreadableLog(t *testing.T) {
	folder, _ := newFilledFolder(t)
	_, err := openStore(unreadableLog{folder}, "a", false)
	is.New(t).Equal(kindOf(err), KindStorage)
}

// TestConflictingEntriesAreReplaced appends an entry at an index that is already
// taken. The old entries from there on must be dropped.
func TestConflictingEntriesAreReplaced(t *testing.T) {
	is := is.New(t)
	folder, s := newFilledFolder(t)
	s.append(entry(5, 2))
	s.append(entry(6, 3))
	is.NoErr(s.flush())
	s, err := openStore(folder, "a", false)
	is.NoErr(err)
	is.Equal(s.lastIndex(), uint64(6))
	is.Equal(s.termAt(4), uint64(1))
	is.Equal(s.termAt(5), uint64(2))
}

// TestCrashWhileCompacting opens a folder with a new snapshot and the old log.
func TestCrashWhileCompacting(t *testing.T) {
	for _, test := range []struct {
		name string
		term uint64
		last uint64
	}{
		{"log matches the snapshot", 1, 9},
		{"log conflicts with the snapshot", 2, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			folder, s := newFilledFolder(t)
			old := bytes.Clone(folder.files[logFile])
			is.NoErr(s.compact(&wire.LogSnapshot{Index: 6, Term: test.term}))
			folder.files[logFile] = old
			s, err := openStore(folder, "a", false)
			is.NoErr(err)
			is.Equal(s.lastIndex(), test.last)
		})
	}
}

// FuzzLog feeds arbitrary data to the decoder of the log file.
func FuzzLog(f *testing.F) {
	var complete []byte
	for index := range uint64(3) {
		complete = appendFrame(complete, marshal(entry(index+2, 1)))
	}
	f.Add(complete)
	f.Add(complete[:len(complete)-3])
	f.Fuzz(func(t *testing.T, b []byte) {
		s := &store{snapshot: &wire.LogSnapshot{Index: 1, Term: 1}}
		if s.readLog(b) != nil {
			return
		}
		for i, e := range s.entries {
			is.New(t).Equal(e.GetIndex(), uint64(i+2)) // no gap
		}
	})
}

// TestReplaceWithoutRoom guards against a failed write that keeps a full disk
// full: the part of the new file that was written must not stay.
func TestReplaceWithoutRoom(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	folder, err := OpenFolder(path)
	is.NoErr(err)
	defer folder.Close()
	is.NoErr(folder.Replace("log", []byte("one")))
	is.NoErr(os.Symlink("/dev/full", filepath.Join(path, "log.new")))
	is.True(errors.Is(folder.Replace("log", []byte("two")), syscall.ENOSPC))
	_, err = os.Lstat(filepath.Join(path, "log.new"))
	is.True(isNotExist(err))
	is.NoErr(folder.Append("log", []byte("two")))
	b, err := folder.Read("log")
	is.NoErr(err)
	is.Equal(string(b), "onetwo")
}

func TestDiskFolder(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	folder, err := OpenFolder(path)
	is.NoErr(err)
	_, err = OpenFolder(path)
	is.Equal(kindOf(err), KindForeign) // already in use
	is.NoErr(folder.Replace("log", []byte("one")))
	is.NoErr(folder.Append("log", []byte("two")))
	is.NoErr(folder.Replace("log", []byte("three")))
	is.NoErr(folder.Append("log", []byte("four")))
	b, err := folder.Read("log")
	is.NoErr(err)
	is.Equal(string(b), "threefour")
	folder.Close()
	again, err := OpenFolder(path)
	is.NoErr(err)
	again.Close()
}
