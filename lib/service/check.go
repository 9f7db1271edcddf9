package service

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Bounds of what service files may say.
const (
	maxName       = 64
	maxServices   = 1000
	maxTeams      = 1000
	maxKinds      = 10_000
	maxRoutes     = 100
	maxHost       = 255
	maxPathPrefix = 1024
	maxPriority   = 1000
	maxAttempts   = 1000
	maxStretch    = 1000
	// maxBytes bounds a whole configuration, encoded.
	maxBytes          = 8 << 20
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
	c.size(services, teams)
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
	routes := map[string]string{}
	for i, one := range services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at, "service", one.GetName(), seen)
		c.kinds(at, one, routes)
	}
	seen = map[string]bool{}
	for i, team := range teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.name(at, "team", team.GetName(), seen)
		c.within(at+".weight", "weight", int64(team.GetWeight()), 0, maxWeight, "shares")
		c.within(at+".maxRunning", "maxRunning", int64(team.GetMaxRunning()), 0, maxRunning, "tasks")
	}
}

// size checks that the whole can be kept and sent.
func (c *checker) size(services []*wire.Service, teams []*wire.Team) {
	n := proto.Size(&wire.Configuration{Services: services, Teams: teams})
	c.within("services", "the size of all services and teams", int64(n), 0, maxBytes, "bytes")
}

// kinds checks the kinds of a service; routes names whose each route is.
func (c *checker) kinds(at string, one *wire.Service, routes map[string]string) {
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
		c.leased(at, kind)
		c.routes(at, kind, routes)
	}
}

// leased checks what counts for leased workers.
func (c *checker) leased(at string, kind *wire.Kind) {
	c.within(at+".priority", "priority", int64(kind.GetPriority()), 0, maxPriority, "")
	c.within(at+".maxAttempts", "maxAttempts", int64(kind.GetMaxAttempts()), 0, maxAttempts, "attempts")
	c.within(at+".slackMillis", "slackMillis", kind.GetSlackMillis(), 0, maxDeadlineMillis, "milliseconds")
	if stretch := kind.GetStretch(); !(stretch >= 0 && stretch <= maxStretch) {
		c.wrong(at+".stretch", "stretch is %g; it must be from 0 to %d", stretch, maxStretch)
	}
}

// routes checks how a gateway's callers reach a kind.
func (c *checker) routes(at string, kind *wire.Kind, seen map[string]string) {
	c.within(at+".routes", "the number of routes", int64(len(kind.GetRoutes())), 0, maxRoutes, "routes")
	if len(kind.GetRoutes()) > 0 && kind.GetDeadlineMillis() == 0 {
		c.wrong(at+".deadlineMillis", "kind %q has routes and needs a deadline", kind.GetName())
	}
	for i, route := range kind.GetRoutes() {
		at := fmt.Sprintf("%s.routes[%d]", at, i)
		c.within(at+".host", "the length of the host", int64(len(route.GetHost())), 0, maxHost, "bytes")
		c.within(at+".pathPrefix", "the length of the path prefix", int64(len(route.GetPathPrefix())), 1, maxPathPrefix, "bytes")
		if !strings.HasPrefix(route.GetPathPrefix(), "/") {
			c.wrong(at+".pathPrefix", "the path prefix %q does not begin with /", route.GetPathPrefix())
		}
		key := strings.ToLower(route.GetHost()) + route.GetPathPrefix()
		if other, found := seen[key]; found {
			c.wrong(at, "kinds %q and %q share the route %s", other, kind.GetName(), key)
		}
		seen[key] = kind.GetName()
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
