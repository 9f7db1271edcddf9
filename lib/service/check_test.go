package service

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// kindWithRoutes returns a kind with the given routes.
func kindWithRoutes(name string, deadlineMillis int64, routes ...string) *wire.Kind {
	kind := &wire.Kind{Name: name, DeadlineMillis: deadlineMillis}
	for _, route := range routes {
		host, path, _ := strings.Cut(route, "/")
		kind.Routes = append(kind.Routes, &wire.Route{Host: host, PathPrefix: "/" + path})
	}
	return kind
}

func TestRoutes(t *testing.T) {
	for _, test := range []struct {
		name  string
		kinds []*wire.Kind
		want  string
	}{
		{"valid", []*wire.Kind{kindWithRoutes("r-73hh2b9", 1500, "nony24.example/pule252/"), kindWithRoutes("r-d3zji9n", 1500, "ficu95.example/pule252/")}, ""},
		{"same route", []*wire.Kind{kindWithRoutes("a", 1500, "h/x/"), kindWithRoutes("b", 1500, "H/x/")}, `kinds "a" and "b" share the route h/x/`},
		{"same route in one kind", []*wire.Kind{kindWithRoutes("a", 1500, "h/x/", "h/x/")}, `kinds "a" and "a" share the route h/x/`},
		{"no deadline", []*wire.Kind{kindWithRoutes("a", 0, "h/x/")}, `kind "a" has routes and needs a deadline`},
		{"no path", []*wire.Kind{{Name: "a", DeadlineMillis: 1, Routes: []*wire.Route{{Host: "h"}}}}, `the length of the path prefix is 0`},
		{"no slash", []*wire.Kind{{Name: "a", DeadlineMillis: 1, Routes: []*wire.Route{{Host: "h", PathPrefix: "x"}}}}, `does not begin with /`},
		{"negative stretch", []*wire.Kind{{Name: "a", Stretch: -1}}, `stretch is -1`},
		{"too large", []*wire.Kind{kindWithRoutes("a", 1, "h/"+strings.Repeat("x", 2000))}, `the length of the path prefix is 2001`},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			err := Check([]*wire.Service{{Name: "huvo11a", Kinds: test.kinds}}, nil)
			is.Equal(err == nil, test.want == "")
			is.True(strings.Contains(fmt.Sprint(err), test.want))
		})
	}
}

func TestThousandsOfKinds(t *testing.T) {
	is := is.New(t)
	var kinds []*wire.Kind
	for n := range 5000 {
		kinds = append(kinds, kindWithRoutes(fmt.Sprint("r-", n), 1500, fmt.Sprintf("h.example/p%d/", n)))
	}
	is.NoErr(Check([]*wire.Service{{Name: "huvo11a", Kinds: kinds}}, nil))
}
