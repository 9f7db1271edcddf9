package quorum

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rotisserie/eris"
)

// Folder is where a host keeps its files.
type Folder interface {
	// Read returns a whole file; the error is fs.ErrNotExist where there is none.
	Read(name string) ([]byte, error)
	// Replace puts a file in place of another, whole or not at all, and
	// returns once it is synced.
	Replace(name string, b []byte) error
	// Append adds to the end of a file and returns once that is synced.
	Append(name string, b []byte) error
}

// DiskFolder is a folder of the file system. One process uses it at a time.
type DiskFolder struct {
	path string
	lock *os.File
	open map[string]*os.File
}

// OpenFolder makes the folder where it does not exist and locks it.
func OpenFolder(path string) (*DiskFolder, error) {
	if err := makeFolder(path); err != nil {
		return nil, storage("open", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, storage("open", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, &Error{Op: "open", Kind: KindForeign, Err: eris.Wrapf(err, "another process uses the data folder %s", path)}
	}
	return &DiskFolder{path: path, lock: lock, open: map[string]*os.File{}}, nil
}

// makeFolder makes a folder that lasts, where there is none.
func makeFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

// Close gives the folder free.
func (d *DiskFolder) Close() {
	for _, f := range d.open {
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
		return err
	}
	if f := d.open[name]; f != nil {
		_ = f.Close()
		delete(d.open, name)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return d.sync()
}

// Append implements Folder.
func (d *DiskFolder) Append(name string, b []byte) error {
	f := d.open[name]
	if f == nil {
		opened, err := os.OpenFile(filepath.Join(d.path, name), os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		d.open[name] = opened
		f = opened
	}
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Sync()
}

// sync makes the folder's list of names last.
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

func missing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
