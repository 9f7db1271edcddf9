package control

import (
	"slices"

	"skylarklane.example/lib/wire"
)

// directory returns the whole directory for a member. Its parts are never modified
// in place, so it may be sent while the state changes. Agents have no use for the
// content of the configuration.
func (m *machine) directory(role wire.Role) *wire.Directory {
	d := &wire.Directory{
		Version:         m.state.GetVersion(),
		Members:         slices.Clone(m.state.GetMembers()),
		Views:           slices.Clone(m.state.GetViews()),
		ConfigVersion:   m.activeConfig.GetVersion(),
		RetentionMillis: m.state.GetRetentionMillis(),
		DataCentres:     m.dataCentresSince(0),
	}
	if role != wire.Role_ROLE_AGENT {
		setConfiguration(d, m.activeConfig)
	}
	for _, death := range m.state.GetDeaths() {
		d.Dead = append(d.Dead, death.GetIncarnation())
	}
	return d
}

// setConfiguration makes the content of a configuration that of the directory.
func setConfiguration(d *wire.Directory, content *wire.Configuration) {
	d.Services, d.Teams, d.CallerLimits = content.GetServices(), content.GetTeams(), content.GetCallerLimits()
}

// delta returns the changes of the directory since the version that a member has.
// It returns nil if the whole directory must be sent instead: the version is 0 or
// unknown, or deaths since then are no longer recorded.
func (m *machine) delta(q *wire.RenewRequest) *wire.DirectoryDelta {
	since := q.GetDirectoryVersion()
	if since == 0 || since < m.state.GetDropped() || since > m.state.GetVersion() {
		return nil
	}
	d := &wire.DirectoryDelta{
		Since: since, Version: m.state.GetVersion(), RetentionMillis: m.state.GetRetentionMillis(),
		DataCentres: m.dataCentresSince(since),
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
	switch {
	case m.activeConfig.GetVersion() == q.GetConfigVersion():
	case q.GetMember().GetRole() == wire.Role_ROLE_AGENT:
		d.Configuration = &wire.Configuration{Version: m.activeConfig.GetVersion()}
	case q.GetPacked():
		d.PackedConfiguration = m.packedActiveConfig()
	default:
		d.Configuration = m.activeConfig
	}
	return d
}

// packedConfig is a packed configuration.
type packedConfig struct {
	of      *wire.Configuration
	content []byte
}

// packedActiveConfig returns the configuration in force, which is packed once for
// all members.
func (m *machine) packedActiveConfig() []byte {
	if m.packed.of != m.activeConfig {
		m.packed = packedConfig{of: m.activeConfig, content: m.activeConfig.Pack()}
	}
	return m.packed.content
}
