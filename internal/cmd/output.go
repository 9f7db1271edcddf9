package cmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// outputFlag selects the output format of a command.
type outputFlag struct {
	Output string `help:"Output format: table or json." enum:"table,json" default:"table" short:"o"`
}

// table is a result in text form.
type table struct {
	title  string
	header []string
	rows   [][]string
}

// print writes v as JSON if that format is selected, else the tables.
func (f outputFlag) print(e *env, v any, tables ...table) error {
	if f.Output == "json" {
		encoder := json.NewEncoder(e.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	for _, t := range tables {
		if err := t.write(e); err != nil {
			return err
		}
	}
	return nil
}

func (t table) write(e *env) error {
	if t.title != "" {
		fmt.Fprintln(e.out, t.title)
	}
	if len(t.header) == 0 {
		return nil
	}
	w := tabwriter.NewWriter(e.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
