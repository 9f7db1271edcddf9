package cmd

import (
	"testing"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

func TestDiff(t *testing.T) {
	older := newConfiguration(&wire.Change{
		Version:  1,
		Services: []*wire.Service{{Name: "sizing", Kinds: []*wire.Kind{{Name: "finCheck", Urgency: wire.Urgency_URGENCY_URGENT, MaxTasks: 1}}}},
		Teams:    []*wire.Team{{Name: "suva", Weight: 1}},
	})
	newer := newConfiguration(&wire.Change{
		Version:  2,
		Services: []*wire.Service{{Name: "sizing", Kinds: []*wire.Kind{{Name: "finCheck", Urgency: wire.Urgency_URGENCY_BATCH, MaxTasks: 1}}}},
		Teams:    []*wire.Team{{Name: "nadi", Weight: 1}},
	})
	is.New(t).Equal(diff(older, newer), []difference{
		{Field: "services.sizing.finCheck.urgency", Before: "urgent", After: "batch"},
		{Field: "teams.nadi.weight", After: "1"},
		{Field: "teams.nadi.maxRunning", After: "0"},
		{Field: "teams.suva.weight", Before: "1"},
		{Field: "teams.suva.maxRunning", Before: "0"},
	})
	is.New(t).Equal(diff(newer, newer), []difference{})
}
