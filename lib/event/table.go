package event

import (
	"fmt"
	"strings"
)

// Markers in a documentation page that enclose the table of events.
const (
	TableBegin = "<!-- catalogue of events: begin -->"
	TableEnd   = "<!-- catalogue of events: end -->"
)

// Table renders the catalogue as Markdown tables.
func Table() string {
	var b strings.Builder
	b.WriteString("| field in each line | meaning |\n|---|---|\n")
	for _, f := range CommonFields {
		fmt.Fprintf(&b, "| `%s` | %s |\n", f.Name, f.Meaning)
	}
	part := ""
	for _, e := range catalogue {
		if e.part != part {
			part = e.part
			fmt.Fprintf(&b, "\nPart: %s\n\n| event | level | class | when | fields |\n|---|---|---|---|---|\n", part)
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s %s | %s |\n", e.name, e.level, e.class, e.sentence, e.meaning, formatFields(e))
	}
	return b.String()
}

func formatFields(e *Event) string {
	var names []string
	for _, f := range e.fields {
		names = append(names, "`"+f.Name+"`: "+f.Meaning)
	}
	return strings.Join(names, "; ")
}
