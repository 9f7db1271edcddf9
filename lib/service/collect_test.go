package service

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

func folder(files ...string) fstest.MapFS {
	found := fstest.MapFS{}
	for i := 0; i < len(files); i += 2 {
		found[files[i]] = &fstest.MapFile{Data: []byte(files[i+1])}
	}
	return found
}

const sizing = "services:\n- name: sizing\n  kinds:\n  - name: finCheck\n    urgency: urgent\n"

func TestCollects(t *testing.T) {
	is := is.New(t)
	all, err := Collect(folder(
		"a/skylarklane.yaml", sizing,
		"b/c/skylarklane.yaml", strings.Replace(sizing, "sizing", "airflow", 1)+"teams:\n- name: suva\n",
		"b/other.yaml", "not: ours"))
	is.NoErr(err)
	is.Equal(len(all.GetServices()), 2)
	is.Equal(len(all.GetTeams()), 1)
	is.Equal(all.GetServices()[0].GetKinds()[0].GetUrgency(), wire.Urgency_URGENCY_URGENT)
}

func TestRefuses(t *testing.T) {
	for _, test := range []struct {
		name  string
		files fstest.MapFS
		want  string
	}{
		{"none", folder("a/x.yaml", sizing), "collect: no file named skylarklane.yaml here; put one beside each service's code"},
		{"in two files", folder("a/skylarklane.yaml", sizing, "b/skylarklane.yaml", sizing), `b/skylarklane.yaml:2: service "sizing" is also in a/skylarklane.yaml:2; rename or drop one of them`},
		{"twice in one", folder("skylarklane.yaml", sizing+sizing[len("services:\n"):]), `skylarklane.yaml:6: service "sizing" is there twice`},
		{"no name", folder("skylarklane.yaml", strings.Replace(sizing, "sizing", `""`, 1)), `skylarklane.yaml:2: a service has no name`},
		{"bad name", folder("skylarklane.yaml", strings.Replace(sizing, "sizing", "a/b", 1)), `skylarklane.yaml:2: the name of service "a/b" has the character '/'`},
		{"range", folder("skylarklane.yaml", sizing+"    deadlineMillis: 3600001\n"), `skylarklane.yaml:6: deadlineMillis is 3600001; it must be from 0 to 3600000 milliseconds`},
		{"no kinds", folder("skylarklane.yaml", "services:\n- name: a\n"), `skylarklane.yaml:2: the number of kinds is 0; it must be from 1 to 10000 kinds`},
		{"unknown field", folder("skylarklane.yaml", sizing+"    deadline: 3\n"), `skylarklane.yaml:6: unknown field "deadline"; did you mean`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Collect(test.files)
			is.New(t).True(err != nil)
			is.New(t).True(strings.Contains(err.Error(), test.want))
		})
	}
}
