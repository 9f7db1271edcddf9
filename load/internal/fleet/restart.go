package fleet

import (
	"context"
	"path/filepath"
	"slices"
)

// Restart kills a process and starts its program again on the same settings,
// as a new incarnation. The fleet then holds the new process.
func (f *Fleet) Restart(p *Process) error {
	p.Kill()
	again, err := Start(p.Name, p.command.Path, p.command.Args[1:]...)
	if err != nil {
		return err
	}
	for _, list := range []*[]*Process{&f.Controls, &f.Agents, &f.Entries} {
		if n := slices.Index(*list, p); n >= 0 {
			(*list)[n] = again
		}
	}
	return nil
}

// Leader returns the control host that says it leads, else the first.
func (f *Fleet) Leader(ctx context.Context) *Process {
	for _, p := range f.Controls {
		status, err := f.Status(ctx, p.Address())
		if err == nil && status.GetLeader() != "" && status.GetId() == status.GetLeader() {
			return p
		}
	}
	return f.Controls[0]
}

// DataFolder returns the data folder of a control host.
func (f *Fleet) DataFolder(p *Process) string {
	return filepath.Join(f.folder, p.Name)
}
