package cmd

import (
	"fmt"
	"slices"
	"strconv"

	"skylarklane.example/lib/settings"
	"skylarklane.example/lib/wire"
)

// configuration is the printed form of one version, with the fields of the
// service files.
type configuration struct {
	Version  uint64          `json:"version"`
	Services []serviceOutput `json:"services"`
	Teams    []teamOutput    `json:"teams"`
}

type serviceOutput struct {
	Name  string       `json:"name"`
	Kinds []kindOutput `json:"kinds"`
}

type kindOutput struct {
	Name              string `json:"name"`
	Urgency           string `json:"urgency"`
	Idempotent        bool   `json:"idempotent"`
	ExpectedRunMillis int64  `json:"expectedRunMillis"`
	DeadlineMillis    int64  `json:"deadlineMillis"`
	MaxTasks          uint32 `json:"maxTasks"`
}

type teamOutput struct {
	Name       string `json:"name"`
	Weight     uint32 `json:"weight"`
	MaxRunning uint32 `json:"maxRunning"`
}

// difference is one changed field; Before or After is empty if the field is
// absent from that version.
type difference struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// field is the full name and the value of one field.
type field struct{ name, value string }

func newConfiguration(change *wire.Change) configuration {
	c := configuration{Version: change.GetVersion(), Services: []serviceOutput{}, Teams: []teamOutput{}}
	for _, service := range change.GetServices() {
		shown := serviceOutput{Name: service.GetName(), Kinds: []kindOutput{}}
		for _, kind := range service.GetKinds() {
			shown.Kinds = append(shown.Kinds, kindOutput{
				Name:              kind.GetName(),
				Urgency:           settings.Word(kind.GetUrgency().Descriptor().Values().ByNumber(kind.GetUrgency().Number())),
				Idempotent:        kind.GetIdempotent(),
				ExpectedRunMillis: kind.GetExpectedRunMillis(),
				DeadlineMillis:    kind.GetDeadlineMillis(),
				MaxTasks:          kind.GetMaxTasks(),
			})
		}
		c.Services = append(c.Services, shown)
	}
	for _, team := range change.GetTeams() {
		c.Teams = append(c.Teams, teamOutput{Name: team.GetName(), Weight: team.GetWeight(), MaxRunning: team.GetMaxRunning()})
	}
	return c
}

func (c configuration) tables() []table {
	kinds := table{
		title:  fmt.Sprintf("configuration version %d", c.Version),
		header: []string{"SERVICE", "KIND", "URGENCY", "IDEMPOTENT", "EXPECTED RUN", "DEADLINE", "MAX TASKS"},
	}
	for _, one := range c.Services {
		for _, kind := range one.Kinds {
			kinds.rows = append(kinds.rows, []string{
				one.Name, kind.Name, kind.Urgency, strconv.FormatBool(kind.Idempotent),
				fmt.Sprintf("%dms", kind.ExpectedRunMillis), fmt.Sprintf("%dms", kind.DeadlineMillis), fmt.Sprint(kind.MaxTasks),
			})
		}
	}
	teams := table{header: []string{"TEAM", "WEIGHT", "MAX RUNNING"}}
	for _, team := range c.Teams {
		teams.rows = append(teams.rows, []string{team.Name, fmt.Sprint(team.Weight), fmt.Sprint(team.MaxRunning)})
	}
	return []table{kinds, teams}
}

// fields returns all fields, grouped by item.
func (c configuration) fields() []field {
	var all []field
	for _, one := range c.Services {
		for _, kind := range one.Kinds {
			at := "services." + one.Name + "." + kind.Name + "."
			all = append(all,
				field{at + "urgency", kind.Urgency},
				field{at + "idempotent", strconv.FormatBool(kind.Idempotent)},
				field{at + "expectedRunMillis", fmt.Sprint(kind.ExpectedRunMillis)},
				field{at + "deadlineMillis", fmt.Sprint(kind.DeadlineMillis)},
				field{at + "maxTasks", fmt.Sprint(kind.MaxTasks)},
			)
		}
	}
	for _, team := range c.Teams {
		at := "teams." + team.Name + "."
		all = append(all, field{at + "weight", fmt.Sprint(team.Weight)}, field{at + "maxRunning", fmt.Sprint(team.MaxRunning)})
	}
	return all
}

// diff returns the fields that differ, in the order of the newer version,
// followed by the removed ones.
func diff(older, newer configuration) []difference {
	before, after := older.fields(), newer.fields()
	found := []difference{}
	for _, f := range after {
		if old := valueOf(before, f.name); old != f.value {
			found = append(found, difference{Field: f.name, Before: old, After: f.value})
		}
	}
	for _, f := range before {
		if valueOf(after, f.name) == "" {
			found = append(found, difference{Field: f.name, Before: f.value})
		}
	}
	return found
}

func valueOf(fields []field, name string) string {
	i := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if i < 0 {
		return ""
	}
	return fields[i].value
}
