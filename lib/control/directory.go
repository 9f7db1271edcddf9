package control

import (
	"slices"

	"skylarklane.example/lib/wire"
)

// directory returns the whole directory. Its parts are never changed in place,
// so that it may be sent while the state moves on.
func (m *machine) directory() *wire.Directory {
	d := &wire.Directory{
		Version:         m.state.GetVersion(),
		Members:         slices.Clone(m.state.GetMembers()),
		Views:           slices.Clone(m.state.GetViews()),
		ConfigVersion:   m.inForce.GetVersion(),
		Services:        m.inForce.GetServices(),
		Teams:           m.inForce.GetTeams(),
		RetentionMillis: m.state.GetRetentionMillis(),
	}
	for _, death := range m.state.GetDeaths() {
		d.Dead = append(d.Dead, death.GetIncarnation())
	}
	return d
}

// delta returns what is newer than a version, and nil where too much was
// forgotten since.
func (m *machine) delta(since, configVersion uint64) *wire.DirectoryDelta {
	if since == 0 || since < m.state.GetDropped() || since > m.state.GetVersion() {
		return nil
	}
	d := &wire.DirectoryDelta{
		Since: since, Version: m.state.GetVersion(), RetentionMillis: m.state.GetRetentionMillis(),
	}
	for _, member := range m.state.GetMembers() {
		if member.GetVersion() > since {
			d.Members = append(d.Members, member)
		}
	}
	for _, death := range m.state.GetDeaths() {
		if death.GetVersion() > since {
			d.Gone = append(d.Gone, death.GetIncarnation())
		}
	}
	for _, view := range m.state.GetViews() {
		if view.GetVersion() > since {
			d.Views = append(d.Views, view)
		}
	}
	if m.inForce.GetVersion() != configVersion {
		d.Configuration = m.inForce
	}
	return d
}
