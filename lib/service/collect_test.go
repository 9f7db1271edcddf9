package service

import (
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

func testFS(files ...string) fstest.MapFS {
	found := fstest.MapFS{}
	for i := 0; i < len(files); i += 2 {
		found[files[i]] = &fstest.MapFile{Data: []byte(files[i+1])}
	}
	return found
}

const sizingFile = "services:\n- name: sizing\n  kinds:\n  - name: finCheck\n    urgency: urgent\n"

func TestCollect(t *testing.T) {
	is := is.New(t)
	all, err := Collect(testFS(
		"a/skylarklane.yaml", sizingFile,
		"b/c/skylarklane.yaml", strings.Replace(sizingFile, "sizing", "airflow", 1)+"teams:\n- name: suva\n",
		"b/other.yaml", "not: ours",
		"c/skylarklane.yaml", "services: []\n"))
	is.NoErr(err)
	is.Equal(len(all.GetServices()), 2)
	is.Equal(len(all.GetTeams()), 1)
	is.Equal(all.GetServices()[0].GetKinds()[0].GetUrgency(), wire.Urgency_URGENCY_URGENT)
}

func TestCollectErrors(t *testing.T) {
	for _, test := range []struct {
		name  string
		files fstest.MapFS
		want  string
	}{
		{"none", testFS("a/x.yaml", sizingFile), "collect: no file named skylarklane.yaml found; put one beside each service's code"},
		{"defined in two files", testFS("a/skylarklane.yaml", sizingFile, "b/skylarklane.yaml", sizingFile), `b/skylarklane.yaml:2: service "sizing" is also in a/skylarklane.yaml:2; rename or drop one of them`},
		{"defined twice in one file", testFS("skylarklane.yaml", sizingFile+sizingFile[len("services:\n"):]), `skylarklane.yaml:6: duplicate service "sizing"`},
		{"no name", testFS("skylarklane.yaml", strings.Replace(sizingFile, "sizing", `""`, 1)), `skylarklane.yaml:2: service has no name`},
		{"bad name", testFS("skylarklane.yaml", strings.Replace(sizingFile, "sizing", "a/b", 1)), `skylarklane.yaml:2: the name of service "a/b" has the character '/'`},
		{"out of range", testFS("skylarklane.yaml", sizingFile+"    deadlineMillis: 86400001\n"), `skylarklane.yaml:6: deadlineMillis is 86400001; it must be from 0 to 86400000 milliseconds`},
		{"no kinds", testFS("skylarklane.yaml", "services:\n- name: a\n"), `skylarklane.yaml:2: the number of kinds is 0; it must be from 1 to 10000 kinds`},
		{"empty file beside another", testFS("a/skylarklane.yaml", sizingFile, "b/skylarklane.yaml", ""), `b/skylarklane.yaml: the file has neither services nor teams`},
		{"comment only", testFS("skylarklane.yaml", "# services:\n"), `skylarklane.yaml: the file has neither services nor teams`},
		{"cut off after the first word", testFS("skylarklane.yaml", sizingFile[:len("services:\n")]), `skylarklane.yaml: the file has neither services nor teams`},
		{"cut off after a service's name", testFS("skylarklane.yaml", sizingFile[:len("services:\n- name: sizing\n")]), `the number of kinds is 0`},
		{"unknown field", testFS("skylarklane.yaml", sizingFile+"    deadline: 3\n"), `skylarklane.yaml:6: unknown field "deadline"; did you mean`},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Collect(test.files)
			is.New(t).True(err != nil)
			is.New(t).True(strings.Contains(err.Error(), test.want))
		})
	}
}
