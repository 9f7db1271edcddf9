package worth

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const sample = `{
 "G": 0.8,
 "parts": [["whole day", 0.75, 0.92], ["worst windows", 0.25, 0.5]],
 "prices": [["machine-seconds", 1160.9, 0.034], ["cloud calls", 0.0, 0.0]],
 "all": {"name": "all", "n": 30, "not_owed": 2, "late": 3, "refused": 1, "failed": 0, "worth": 0.92},
 "classes": [{"name": "check", "n": 30, "not_owed": 2, "late": 3, "refused": 1, "worth": 0.92}],
 "windows": [
  {"name": "0", "n": 10, "worth": 1.0},
  {"name": "2", "n": 10, "late": 3, "worth": 0.5},
  {"name": "4", "n": 10, "not_owed": 2, "refused": 1, "worth": 0.75},
  {"name": "6", "n": 10, "worth": 1.0},
  {"name": "8", "n": 10, "worth": 0.9},
  {"name": "10", "n": 0, "worth": 1.0}
 ],
 "events": [{"at_s": 1.5, "to_s": 3.0, "kind": "burst"}, {"at_s": 4.0, "to_s": 4.2, "kind": "freeze"}]
}`

func loadReport(t *testing.T, text string) (Day, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "quiet-1.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path)
}

func TestMarkdown(t *testing.T) {
	is := is.New(t)
	day, err := loadReport(t, sample)
	is.NoErr(err)
	var text strings.Builder
	day.Markdown(&text)
	for _, row := range []string{
		"**quiet-1**: worth 0.800",
		"| worst windows |  | 0.1250 |\n| whole day |  | 0.0600 |\n| machine-seconds | 1161 | 0.0340 |\n\n",
		"| check | 28 | 3 | 1 | 0 | 8.0% |  |",
		"| 2 | 10 | 3 | 0 | 0 | 50.0% | burst |\n| 4 | 8 | 0 | 1 | 0 | 25.0% | freeze |\n| 8 |",
	} {
		is.True(strings.Contains(text.String(), row)) // the row is in the tables
	}
}

func TestPlot(t *testing.T) {
	is := is.New(t)
	day, err := loadReport(t, sample)
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "day.svg")
	is.NoErr(day.Plot(path))
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(strings.Contains(string(text), "worth lost"))
}

func TestLoadRejectsInvalidReports(t *testing.T) {
	for _, text := range []string{"", "{", `{"parts": [[1, 2, 3]]}`, `{"prices": {"a": 1}}`} {
		t.Run(text, func(t *testing.T) {
			_, err := loadReport(t, text)
			is.New(t).True(err != nil)
		})
	}
}
