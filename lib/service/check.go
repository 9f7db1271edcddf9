package service

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Limits on the values in service files. Lengths are in bytes.
const (
	maxName       = 64
	maxServices   = 1000
	maxTeams      = 1000
	maxKinds      = 10_000
	maxRoutes     = 100
	maxHost       = 255
	maxPathPrefix = 1024
	// maxBytes limits the encoded size of a whole configuration.
	maxBytes          = 8 << 20
	maxRunMillis      = 600_000
	maxDeadlineMillis = 86_400_000
	maxTasks          = 10_000
	maxWeight         = 1_000_000
	maxRunning        = 10_000_000
)

// Limits on the scheduling fields of a kind.
const (
	MaxPriority = 1000
	MaxAttempts = 1000
	MaxStretch  = 1000
)

// Check validates a whole configuration and returns the first problem, or nil.
func Check(services []*wire.Service, teams []*wire.Team) error {
	c := &checker{locate: func(path string) string { return path }}
	c.file(services, teams)
	c.size(services, teams)
	return c.err
}

// checker validates service files and holds the first problem found.
type checker struct {
	// locate converts the path of a field to a location for the user, such as a
	// file and line.
	locate func(path string) string
	err    error
}

// file checks the services and teams of a file or of a whole configuration.
func (c *checker) file(services []*wire.Service, teams []*wire.Team) {
	c.checkRange("services", "services", int64(len(services)), 0, maxServices, "services")
	c.checkRange("teams", "teams", int64(len(teams)), 0, maxTeams, "teams")
	seen := map[string]bool{}
	routes := map[string]string{}
	for i, service := range services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path, "service", service.GetName(), seen)
		c.kinds(path, service, routes)
	}
	seen = map[string]bool{}
	for i, team := range teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.name(path, "team", team.GetName(), seen)
		c.checkRange(path+".weight", "weight", int64(team.GetWeight()), 0, maxWeight, "shares")
		c.checkRange(path+".maxRunning", "maxRunning", int64(team.GetMaxRunning()), 0, maxRunning, "tasks")
	}
}

// size checks the encoded size of the configuration, which is stored and sent as
// a whole.
func (c *checker) size(services []*wire.Service, teams []*wire.Team) {
	n := proto.Size(&wire.Configuration{Services: services, Teams: teams})
	c.checkRange("services", "the size of all services and teams", int64(n), 0, maxBytes, "bytes")
}

// kinds checks the kinds of a service. routes maps every route seen so far to
// its kind.
func (c *checker) kinds(path string, service *wire.Service, routes map[string]string) {
	c.checkRange(path+".kinds", "the number of kinds", int64(len(service.GetKinds())), 1, maxKinds, "kinds")
	seen := map[string]bool{}
	for i, kind := range service.GetKinds() {
		path := fmt.Sprintf("%s.kinds[%d]", path, i)
		c.name(path, "kind", kind.GetName(), seen)
		c.checkRange(path+".expectedRunMillis", "expectedRunMillis", kind.GetExpectedRunMillis(), 0, maxRunMillis, "milliseconds")
		c.checkRange(path+".deadlineMillis", "deadlineMillis", kind.GetDeadlineMillis(), 0, maxDeadlineMillis, "milliseconds")
		c.checkRange(path+".maxTasks", "maxTasks", int64(kind.GetMaxTasks()), 0, maxTasks, "tasks")
		if _, found := wire.Urgency_name[int32(kind.GetUrgency())]; !found {
			c.fail(path+".urgency", "urgency %d is unknown", kind.GetUrgency())
		}
		c.scheduling(path, kind)
		c.routes(path, kind, routes)
	}
}

// scheduling checks the fields that apply only where tasks run under leases.
func (c *checker) scheduling(path string, kind *wire.Kind) {
	c.checkRange(path+".priority", "priority", int64(kind.GetPriority()), 0, MaxPriority, "")
	c.checkRange(path+".maxAttempts", "maxAttempts", int64(kind.GetMaxAttempts()), 0, MaxAttempts, "attempts")
	c.checkRange(path+".slackMillis", "slackMillis", kind.GetSlackMillis(), 0, maxDeadlineMillis, "milliseconds")
	if stretch := kind.GetStretch(); !(stretch >= 0 && stretch <= MaxStretch) {
		c.fail(path+".stretch", "stretch is %g; it must be from 0 to %d", stretch, MaxStretch)
	}
}

// routes checks the routes by which a gateway's callers reach a kind.
func (c *checker) routes(path string, kind *wire.Kind, seen map[string]string) {
	c.checkRange(path+".routes", "the number of routes", int64(len(kind.GetRoutes())), 0, maxRoutes, "routes")
	if len(kind.GetRoutes()) > 0 && kind.GetDeadlineMillis() == 0 {
		c.fail(path+".deadlineMillis", "kind %q has routes and needs a deadline", kind.GetName())
	}
	for i, route := range kind.GetRoutes() {
		path := fmt.Sprintf("%s.routes[%d]", path, i)
		c.checkRange(path+".host", "the length of the host", int64(len(route.GetHost())), 0, maxHost, "bytes")
		c.checkRange(path+".pathPrefix", "the length of the path prefix", int64(len(route.GetPathPrefix())), 1, maxPathPrefix, "bytes")
		if !strings.HasPrefix(route.GetPathPrefix(), "/") {
			c.fail(path+".pathPrefix", "the path prefix %q does not begin with /", route.GetPathPrefix())
		}
		key := strings.ToLower(route.GetHost()) + route.GetPathPrefix()
		if other, found := seen[key]; found {
			c.fail(path, "kinds %q and %q share the route %s", other, kind.GetName(), key)
		}
		seen[key] = kind.GetName()
	}
}

// name checks that a name is valid and not in seen, and adds it.
func (c *checker) name(path, what, name string, seen map[string]bool) {
	path += ".name"
	if name == "" {
		c.fail(path, "%s has no name", what)
	}
	if len(name) > maxName {
		c.fail(path, "the name of %s %q is longer than %d bytes", what, name, maxName)
	}
	for _, r := range name {
		if !isNameRune(r) {
			c.fail(path, "the name of %s %q has the character %q; use letters, digits, '-', '_' and '.'", what, name, r)
		}
	}
	if seen[name] {
		c.fail(path, "duplicate %s %q", what, name)
	}
	seen[name] = true
}

func (c *checker) checkRange(path, what string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.fail(path, "%s is %d; it must be from %d to %d %s", what, value, low, high, unit)
	}
}

// fail records a problem with the field at path, unless there is one already.
func (c *checker) fail(path, format string, args ...any) {
	if c.err == nil {
		c.err = &Error{Op: "check", Kind: KindInvalid, Err: eris.New(c.locate(path) + ": " + fmt.Sprintf(format, args...))}
	}
}

// IsName reports whether a service, kind or team can have this name.
func IsName(name string) bool {
	return name != "" && len(name) <= maxName && !strings.ContainsFunc(name, func(r rune) bool { return !isNameRune(r) })
}

func isNameRune(r rune) bool {
	return r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
}
