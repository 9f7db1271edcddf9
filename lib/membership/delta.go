package membership

import (
	"slices"
	"strings"

	"skylarklane.example/lib/wire"
)

// maxDead bounds the number of dead incarnations in a merged directory.
const maxDead = 1024

// merge returns the directory that results from applying a delta. The old
// directory is not modified.
func merge(old *wire.Directory, delta *wire.DirectoryDelta) (*wire.Directory, error) {
	configuration := delta.GetConfiguration()
	if packed := delta.GetPackedConfiguration(); packed != nil {
		var err error
		if configuration, err = wire.UnpackConfiguration(packed); err != nil {
			return nil, err
		}
	}
	d := &wire.Directory{
		Version:         delta.GetVersion(),
		Members:         mergeMembers(old.GetMembers(), delta),
		Views:           mergeViews(old.GetViews(), delta.GetViews()),
		ConfigVersion:   old.GetConfigVersion(),
		Services:        old.GetServices(),
		Teams:           old.GetTeams(),
		CallerLimits:    old.GetCallerLimits(),
		Dead:            slices.Concat(old.GetDead(), delta.GetGone()),
		RetentionMillis: delta.GetRetentionMillis(),
		DataCentres:     mergeDataCentres(old.GetDataCentres(), delta.GetDataCentres()),
	}
	if n := len(d.Dead) - maxDead; n > 0 {
		d.Dead = slices.Clone(d.Dead[n:])
	}
	if configuration.GetVersion() > old.GetConfigVersion() {
		d.ConfigVersion = configuration.GetVersion()
		d.Services = configuration.GetServices()
		d.Teams = configuration.GetTeams()
		d.CallerLimits = configuration.GetCallerLimits()
	}
	return d, nil
}

func mergeMembers(old []*wire.Member, delta *wire.DirectoryDelta) []*wire.Member {
	replaced := map[string]bool{}
	for _, member := range delta.GetMembers() {
		replaced[member.GetIncarnation().GetId()] = true
	}
	members := slices.Clone(delta.GetMembers())
	for _, member := range old {
		inc := member.GetIncarnation()
		if !replaced[inc.GetId()] && !contains(delta.GetGone(), inc) {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, func(a, b *wire.Member) int {
		return strings.Compare(a.GetIncarnation().GetId(), b.GetIncarnation().GetId())
	})
	return members
}

func mergeViews(old, changed []*wire.View) []*wire.View {
	views := slices.Clone(old)
	for _, view := range changed {
		if int(view.GetShard()) < len(views) {
			views[view.GetShard()] = view
			continue
		}
		views = append(views, view)
	}
	return views
}

// mergeDataCentres replaces data centres by name, unless the old one is newer.
func mergeDataCentres(old, changed []*wire.DataCentre) []*wire.DataCentre {
	if len(changed) == 0 {
		return old
	}
	merged := slices.Clone(old)
	for _, d := range changed {
		at, found := slices.BinarySearchFunc(merged, d, compareNames)
		switch {
		case !found:
			merged = slices.Insert(merged, at, d)
		case d.GetVersion() > merged[at].GetVersion():
			merged[at] = d
		}
	}
	return merged
}

func compareNames(a, b *wire.DataCentre) int { return strings.Compare(a.GetName(), b.GetName()) }

func contains(list []*wire.Incarnation, inc *wire.Incarnation) bool {
	return slices.ContainsFunc(list, func(other *wire.Incarnation) bool {
		return wire.Same(other, inc)
	})
}
