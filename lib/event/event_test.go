package event

import (
	"bytes"
	"flag"
	"log/slog"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const page = "../../docs/OPERATIONS.md"

var update = flag.Bool("update", false, "write the catalogue into "+page)

func TestPageHoldsCatalogue(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile(page)
	is.NoErr(err)
	before, rest, ok := strings.Cut(string(b), TableBegin)
	is.True(ok) // the page has the begin marker
	_, after, ok := strings.Cut(rest, TableEnd)
	is.True(ok) // the page has the end marker
	want := before + TableBegin + "\n\n" + Table() + "\n" + TableEnd + after
	if *update {
		is.NoErr(os.WriteFile(page, []byte(want), 0o644))
		return
	}
	if string(b) != want {
		t.Fatal("the catalogue in " + page + " is stale; run go generate ./lib/event")
	}
}

func TestCatalogueIsWellFormed(t *testing.T) {
	is := is.New(t)
	camelCase := regexp.MustCompile(`^[a-z][a-zA-Z0-9]*$`)
	names := map[string]bool{}
	for _, e := range All() {
		is.True(!names[e.Name()]) // one event of each name
		names[e.Name()] = true
		is.True(camelCase.MatchString(e.Name()))
		is.True(strings.HasSuffix(e.Sentence(), "."))
		is.True(strings.HasSuffix(e.Meaning(), "."))
		is.Equal(Lookup(e.Name()), e)
		fields := map[string]bool{}
		for _, f := range CommonFields {
			fields[f.Name] = true
		}
		for _, f := range e.Fields() {
			is.True(camelCase.MatchString(f.Name))
			is.True(!fields[f.Name]) // one field of each name
			fields[f.Name] = true
		}
	}
}

func TestLog(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	JobRefused.Log(t.Context(), log, slog.String("job", "a1"))
	is.True(strings.Contains(out.String(), `level=INFO msg="A job was refused and not run." event=jobRefused job=a1`))
}

func BenchmarkLogDisabled(b *testing.B) {
	log := slog.New(slog.DiscardHandler)
	for b.Loop() {
		JobPlaced.Log(b.Context(), log, slog.String("job", "a1"), slog.Int("run", 1))
	}
}
