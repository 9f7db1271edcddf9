package cmd

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"skylarklane.example/load/internal/capacity"
	"skylarklane.example/load/internal/page"
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/rollout"
	"skylarklane.example/load/internal/slope"
)

// capacityTable is the name of the table of the planned size, which is computed
// from two results and has no result file of its own.
const capacityTable = "capacity"

// cmdPages is `load pages docs/MEASUREMENTS.md docs/CAPACITY.md`.
type cmdPages struct {
	Results string   `help:"Folder of the results." default:"docs/results"`
	Pages   []string `arg:"" help:"Pages whose marked tables are rendered anew." type:"existingfile"`
}

// Run renders the marked tables of each page and rewrites the page.
func (c *cmdPages) Run(*environment) error {
	for _, path := range c.Pages {
		if err := c.renderPage(path); err != nil {
			return err
		}
	}
	return nil
}

func (c *cmdPages) renderPage(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return &Error{Op: "pages", Kind: KindUsage, Err: eris.Wrap(err, path)}
	}
	filled, err := page.Fill(string(text), c.renderTable)
	if err != nil {
		return &Error{Op: "pages", Kind: KindUsage, Err: eris.Wrap(err, path)}
	}
	return os.WriteFile(path, []byte(filled), 0o644)
}

func (c *cmdPages) renderTable(name string) (string, error) {
	var text strings.Builder
	t, err := c.table(name)
	if errors.Is(err, fs.ErrNotExist) {
		return "Not run yet; `make measure` runs it.", nil
	}
	if err != nil {
		return "", err
	}
	t.Markdown(&text)
	return text.String(), nil
}

func (c *cmdPages) table(name string) (table, error) {
	if name != capacityTable {
		return loadResult(filepath.Join(c.Results, name+".json"))
	}
	var slopes slope.Result
	if err := report.Load(filepath.Join(c.Results, "slopes.json"), &slopes); err != nil {
		return nil, err
	}
	var changes rollout.Result
	if err := report.Load(filepath.Join(c.Results, "bench-rollout.json"), &changes); err != nil {
		return nil, err
	}
	return capacity.New(capacity.Planned(), slopes, changes), nil
}
