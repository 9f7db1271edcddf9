package control

import (
	"slices"
	"strings"
	"unicode/utf8"

	"skylarklane.example/lib/wire"
)

const (
	// maxDataCentres bounds the number of data centres in the replicated state.
	maxDataCentres = 1024
	// maxDataCentreBytes bounds the name of a data centre.
	maxDataCentreBytes = 255
)

// Reasons for refusing an evacuation, besides reasonBaseNotInForce.
const (
	reasonUnknownDataCentre  = "unknownDataCentre"
	reasonTooManyDataCentres = "tooManyDataCentres"
)

// isDataCentreName reports whether name can be the name of a data centre in the
// replicated state. Protocol Buffers cannot encode text that is not UTF-8.
func isDataCentreName(name string) bool {
	return name != "" && len(name) <= maxDataCentreBytes && utf8.ValidString(name)
}

// findDataCentre returns the position of a data centre, which are sorted by name.
func (m *machine) findDataCentre(name string) (int, bool) {
	return slices.BinarySearchFunc(m.state.GetDataCentres(), name, func(d *wire.DataCentre, name string) int {
		return strings.Compare(d.GetName(), name)
	})
}

// dataCentre returns the data centre with a name, nil if it is not known.
func (m *machine) dataCentre(name string) *wire.DataCentre {
	at, found := m.findDataCentre(name)
	if !found {
		return nil
	}
	return m.state.DataCentres[at]
}

// addDataCentre records the data centre of a member that joins. It ignores names
// beyond the limits, so that the member can still join.
func (m *machine) addDataCentre(name string) {
	if isDataCentreName(name) && m.dataCentre(name) == nil {
		m.putDataCentre(&wire.DataCentre{Name: name})
	}
}

// putDataCentre adds or replaces a data centre. It reports false if there are too
// many. The old one is not modified, as it may be in a directory that is being
// sent.
func (m *machine) putDataCentre(d *wire.DataCentre) bool {
	at, found := m.findDataCentre(d.GetName())
	switch {
	case found:
		m.state.DataCentres[at] = d
	case len(m.state.GetDataCentres()) >= maxDataCentres:
		return false
	default:
		m.state.DataCentres = slices.Insert(m.state.GetDataCentres(), at, d)
	}
	return true
}

// setEvacuation begins or finishes an evacuation. A command whose base version is
// not that of the data centre may be older than the last change, so it changes
// nothing.
func (m *machine) setEvacuation(index uint64, at int64, c *wire.SetEvacuation) *wire.EvacuateReply {
	name := c.GetDataCentre()
	known := m.dataCentre(name)
	if known == nil && !c.GetListed() || !isDataCentreName(name) {
		return unknownDataCentre(name)
	}
	if known == nil {
		known = &wire.DataCentre{Name: name}
	}
	switch {
	case known.GetEvacuated() == c.GetEvacuated():
		return &wire.EvacuateReply{Accepted: true, DataCentre: known}
	case known.GetVersion() != c.GetBaseVersion():
		return &wire.EvacuateReply{
			DataCentre: known, Reason: reasonBaseNotInForce, Detail: "the evacuation has been changed since the call came in",
		}
	}
	changed := &wire.DataCentre{Name: name, Evacuated: c.GetEvacuated(), Version: index, ChangedAtMillis: at}
	if !m.putDataCentre(changed) {
		return &wire.EvacuateReply{
			DataCentre: known, Reason: reasonTooManyDataCentres, Detail: "the control group stores no more names of data centres",
		}
	}
	m.state.Version = index
	return &wire.EvacuateReply{Accepted: true, Changed: true, DataCentre: changed}
}

// unknownDataCentre refuses an evacuation of a data centre that is not known.
func unknownDataCentre(name string) *wire.EvacuateReply {
	name = strings.ToValidUTF8(name[:min(len(name), maxDataCentreBytes)], "")
	return &wire.EvacuateReply{
		DataCentre: &wire.DataCentre{Name: name}, Reason: reasonUnknownDataCentre,
		Detail: "no member has ever run in the data centre, and the settings of the control host that was asked do not name it",
	}
}

// dataCentresSince lists the data centres whose evacuation has changed after a
// version of the directory.
func (m *machine) dataCentresSince(version uint64) []*wire.DataCentre {
	var changed []*wire.DataCentre
	for _, d := range m.state.GetDataCentres() {
		if d.GetVersion() > version {
			changed = append(changed, d)
		}
	}
	return changed
}

// evacuatedCount returns the number of data centres that are evacuated.
func (m *machine) evacuatedCount() int {
	n := 0
	for _, d := range m.state.GetDataCentres() {
		if d.GetEvacuated() {
			n++
		}
	}
	return n
}
