package fleet

import (
	"context"
	"path/filepath"
	"slices"
)

// Restart kills a process and starts its program again with the same settings,
// as a new incarnation. The new process takes the place of p in the fleet.
func (f *Fleet) Restart(p *Process) error {
	p.Kill()
	restarted, err := Start(p.Name, p.command.Path, p.command.Args[1:]...)
	if err != nil {
		return err
	}
	for _, list := range []*[]*Process{&f.Controls, &f.Agents, &f.Entries} {
		if n := slices.Index(*list, p); n >= 0 {
			(*list)[n] = restarted
		}
	}
	return nil
}

// Leader returns the control host that reports itself as the leader, or the
// first one if none does.
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
