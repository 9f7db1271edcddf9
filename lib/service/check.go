package service

import (
	"fmt"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Bounds of what service files may say.
const (
	maxName           = 64
	maxServices       = 1000
	maxTeams          = 1000
	maxKinds          = 100
	maxRunMillis      = 600_000
	maxDeadlineMillis = 3_600_000
	maxTasks          = 10_000
	maxWeight         = 1_000_000
	maxRunning        = 10_000_000
)

// Check tells what is wrong with a whole configuration, nil where nothing is.
func Check(services []*wire.Service, teams []*wire.Team) error {
	c := &checker{where: func(path string) string { return path }}
	c.file(services, teams)
	return c.err
}

// checker keeps the first thing that is wrong.
type checker struct {
	// where turns the path of a field into what the user can find.
	where func(path string) string
	err   error
}

func (c *checker) file(services []*wire.Service, teams []*wire.Team) {
	c.within("services", "services", int64(len(services)), 0, maxServices, "services")
	c.within("teams", "teams", int64(len(teams)), 0, maxTeams, "teams")
	seen := map[string]bool{}
	for i, one := range services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at, "service", one.GetName(), seen)
		c.kinds(at, one)
	}
	seen = map[string]bool{}
	for i, team := range teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.name(at, "team", team.GetName(), seen)
		c.within(at+".weight", "weight", int64(team.GetWeight()), 0, maxWeight, "shares")
		c.within(at+".maxRunning", "maxRunning", int64(team.GetMaxRunning()), 0, maxRunning, "tasks")
	}
}

func (c *checker) kinds(at string, one *wire.Service) {
	c.within(at+".kinds", "the number of kinds", int64(len(one.GetKinds())), 1, maxKinds, "kinds")
	seen := map[string]bool{}
	for i, kind := range one.GetKinds() {
		at := fmt.Sprintf("%s.kinds[%d]", at, i)
		c.name(at, "kind", kind.GetName(), seen)
		c.within(at+".expectedRunMillis", "expectedRunMillis", kind.GetExpectedRunMillis(), 0, maxRunMillis, "milliseconds")
		c.within(at+".deadlineMillis", "deadlineMillis", kind.GetDeadlineMillis(), 0, maxDeadlineMillis, "milliseconds")
		c.within(at+".maxTasks", "maxTasks", int64(kind.GetMaxTasks()), 0, maxTasks, "tasks")
		if _, found := wire.Urgency_name[int32(kind.GetUrgency())]; !found {
			c.wrong(at+".urgency", "urgency %d is unknown", kind.GetUrgency())
		}
	}
}

// name checks a name, and that it is not in seen.
func (c *checker) name(at, what, name string, seen map[string]bool) {
	at += ".name"
	if name == "" {
		c.wrong(at, "a %s has no name", what)
	}
	if len(name) > maxName {
		c.wrong(at, "the name of %s %q is longer than %d bytes", what, name, maxName)
	}
	for _, r := range name {
		if !nameRune(r) {
			c.wrong(at, "the name of %s %q has the character %q; use letters, digits, '-', '_' and '.'", what, name, r)
		}
	}
	if seen[name] {
		c.wrong(at, "%s %q is there twice", what, name)
	}
	seen[name] = true
}

func (c *checker) within(at, what string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.wrong(at, "%s is %d; it must be from %d to %d %s", what, value, low, high, unit)
	}
}

func (c *checker) wrong(at, format string, args ...any) {
	if c.err == nil {
		c.err = &Error{Op: "check", Kind: KindInvalid, Err: eris.New(c.where(at) + ": " + fmt.Sprintf(format, args...))}
	}
}

func nameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
}
