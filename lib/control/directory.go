package control

import (
	"slices"

	"skylarklane.example/lib/wire"
)

// directory returns the whole directory. Its parts are never modified in
// place, so it may be sent while the state changes.
func (m *machine) directory() *wire.Directory {
	d := &wire.Directory{
		Version:         m.state.GetVersion(),
		Members:         slices.Clone(m.state.GetMembers()),
		Views:           slices.Clone(m.state.GetViews()),
		ConfigVersion:   m.activeConfig.GetVersion(),
		Services:        m.activeConfig.GetServices(),
		Teams:           m.activeConfig.GetTeams(),
		RetentionMillis: m.state.GetRetentionMillis(),
	}
	for _, death := range m.state.GetDeaths() {
		d.Dead = append(d.Dead, death.GetIncarnation())
	}
	return d
}

// delta returns the changes of the directory since a version. It returns nil if
// the whole directory must be sent instead: the version is 0 or unknown, or
// deaths since then are no longer recorded.
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
	if m.activeConfig.GetVersion() != configVersion {
		d.Configuration = m.activeConfig
	}
	return d
}
