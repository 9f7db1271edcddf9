package quorum

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Folder is the data folder of a host.
type Folder interface {
	// Read returns the contents of a file. The error is fs.ErrNotExist if the
	// file does not exist.
	Read(name string) ([]byte, error)
	// Replace atomically replaces the contents of a file and returns once they
	// are synced.
	Replace(name string, b []byte) error
	// Append appends to a file and returns once the data is synced.
	Append(name string, b []byte) error
}

// DiskFolder is a Folder in the file system. Only one process can use it at a
// time.
type DiskFolder struct {
	path      string
	lock      *os.File
	openFiles map[string]*os.File
}

// OpenFolder opens and locks a folder. It creates the folder if it does not
// exist.
func OpenFolder(path string) (*DiskFolder, error) {
	if err := createFolder(path); err != nil {
		return nil, storageError("open", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, storageError("open", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &Error{Op: "open", Kind: KindForeign, Err: eris.Wrapf(err, "another process uses the data folder %s", path)}
	}
	return &DiskFolder{path: path, lock: lock, openFiles: map[string]*os.File{}}, nil
}

// createFolder creates a folder if it does not exist, and syncs its parent so
// that the folder survives a crash.
func createFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// Close closes the files and releases the lock.
func (d *DiskFolder) Close() {
	for _, f := range d.openFiles {
		_ = f.Close()
	}
	_ = d.lock.Close()
}

// Read implements Folder.
func (d *DiskFolder) Read(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.path, name))
}

// Replace implements Folder.
func (d *DiskFolder) Replace(name string, b []byte) error {
	path := filepath.Join(d.path, name)
	if err := writeSynced(path+".new", b); err != nil {
		return errors.Join(err, removeIfExists(path+".new"))
	}
	if f := d.openFiles[name]; f != nil {
		_ = f.Close()
		delete(d.openFiles, name)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return d.sync()
}

// Append implements Folder.
func (d *DiskFolder) Append(name string, b []byte) error {
	f := d.openFiles[name]
	if f == nil {
		opened, err := os.OpenFile(filepath.Join(d.path, name), os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		d.openFiles[name] = opened
		f = opened
	}
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Sync()
}

// sync makes created and renamed files durable.
func (d *DiskFolder) sync() error { return syncFolder(d.path) }

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func writeSynced(path string, b []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	return errors.Join(err, f.Sync(), f.Close())
}

// removeIfExists removes an incomplete file, which would take up room on a full
// disk.
func removeIfExists(path string) error {
	if err := os.Remove(path); !isNotExist(err) {
		return err
	}
	return nil
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
