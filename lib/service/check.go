package service

import (
	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Bounds of what a service file may say.
const (
	maxName           = 64
	maxServices       = 1000
	maxTeams          = 1000
	maxKinds          = 100
	maxRunMillis      = 600_000
	maxDeadlineMillis = 3_600_000
	maxTasks          = 10_000
	maxWeight         = 1_000_000
)

// Check tells what is wrong with a whole configuration, nil where nothing is.
func Check(services []*wire.Service, teams []*wire.Team) error {
	if len(services) > maxServices {
		return invalid("there are %d services; %d at most", len(services), maxServices)
	}
	if len(teams) > maxTeams {
		return invalid("there are %d teams; %d at most", len(teams), maxTeams)
	}
	seen := map[string]bool{}
	for _, one := range services {
		if err := checkService(one); err != nil {
			return err
		}
		if seen[one.GetName()] {
			return invalid("service %q is there twice", one.GetName())
		}
		seen[one.GetName()] = true
	}
	seen = map[string]bool{}
	for _, team := range teams {
		if err := checkTeam(team); err != nil {
			return err
		}
		if seen[team.GetName()] {
			return invalid("team %q is there twice", team.GetName())
		}
		seen[team.GetName()] = true
	}
	return nil
}

func checkService(one *wire.Service) error {
	if err := checkName("service", one.GetName()); err != nil {
		return err
	}
	if n := len(one.GetKinds()); n == 0 || n > maxKinds {
		return invalid("service %q has %d kinds; it needs 1 to %d", one.GetName(), n, maxKinds)
	}
	seen := map[string]bool{}
	for _, kind := range one.GetKinds() {
		if err := checkKind(one.GetName(), kind); err != nil {
			return err
		}
		if seen[kind.GetName()] {
			return invalid("service %q has the kind %q twice", one.GetName(), kind.GetName())
		}
		seen[kind.GetName()] = true
	}
	return nil
}

func checkKind(service string, kind *wire.Kind) error {
	if err := checkName("kind", kind.GetName()); err != nil {
		return err
	}
	where := service + "." + kind.GetName()
	for _, field := range []struct {
		name       string
		value, max int64
		unit       string
	}{
		{"expectedRunMillis", kind.GetExpectedRunMillis(), maxRunMillis, "milliseconds"},
		{"deadlineMillis", kind.GetDeadlineMillis(), maxDeadlineMillis, "milliseconds"},
		{"maxTasks", int64(kind.GetMaxTasks()), maxTasks, "tasks"},
	} {
		if field.value < 0 || field.value > field.max {
			return invalid("%s: %s is %d; 0 to %d %s", where, field.name, field.value, field.max, field.unit)
		}
	}
	if _, found := wire.Urgency_name[int32(kind.GetUrgency())]; !found {
		return invalid("%s: urgency %d is unknown", where, kind.GetUrgency())
	}
	return nil
}

func checkTeam(team *wire.Team) error {
	if err := checkName("team", team.GetName()); err != nil {
		return err
	}
	if team.GetWeight() > maxWeight {
		return invalid("team %q: weight is %d; 0 to %d", team.GetName(), team.GetWeight(), maxWeight)
	}
	return nil
}

func checkName(what, name string) error {
	if name == "" {
		return invalid("a %s has no name", what)
	}
	if len(name) > maxName {
		return invalid("the name of %s %q is longer than %d bytes", what, name, maxName)
	}
	for _, r := range name {
		if !nameRune(r) {
			return invalid("the name of %s %q has the character %q; letters, digits, '-', '_' and '.' only", what, name, r)
		}
	}
	return nil
}

func nameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
}

func invalid(format string, args ...any) error {
	return &Error{Op: "check", Kind: KindInvalid, Err: eris.Errorf(format, args...)}
}
