package control

import (
	"sync"

	"skylarklane.example/lib/quorum"
)

// DataFolder is the data folder of a process. It is opened on first use, as
// the disk may hang, and closed when the process ends.
type DataFolder struct {
	path string

	mu     sync.Mutex
	opened *quorum.DiskFolder
}

// NewDataFolder returns the data folder at path, which is empty for a relay.
func NewDataFolder(path string) *DataFolder { return &DataFolder{path: path} }

// OpenFunc returns the function that opens the folder, nil for a relay.
func (d *DataFolder) OpenFunc() quorum.OpenFunc {
	if d.path == "" {
		return nil
	}
	return d.open
}

func (d *DataFolder) open() (quorum.Folder, error) {
	folder, err := quorum.OpenFolder(d.path)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened = folder
	return folder, nil
}

// Close closes the folder if it was opened.
func (d *DataFolder) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.opened != nil {
		d.opened.Close()
	}
}
