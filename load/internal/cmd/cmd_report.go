package cmd

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"skylarklane.example/load/internal/bench"
	"skylarklane.example/load/internal/recovery"
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/rollout"
	"skylarklane.example/load/internal/slope"
)

// cmdReport is `load report out/*.json`.
type cmdReport struct {
	Files []string `arg:"" help:"Results of the other commands (JSON)." type:"existingfile"`
}

// table is a result that renders itself as Markdown tables.
type table interface {
	Markdown(w io.Writer)
}

// Run prints the tables of each result.
func (c *cmdReport) Run(e *environment) error {
	for _, file := range c.Files {
		t, err := loadResult(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "<!-- %s -->\n\n", file)
		t.Markdown(e.out)
	}
	return nil
}

func loadResult(file string) (table, error) {
	var header struct{ Origin report.Origin }
	if err := report.Load(file, &header); err != nil {
		return nil, err
	}
	switch header.Origin.Type {
	case "experiment":
		return readResult[report.Result](file)
	case "slopes":
		return readResult[slope.Result](file)
	case "rollout":
		return readResult[rollout.Result](file)
	case "recovery":
		return readResult[recovery.Result](file)
	case "bench":
		return readResult[bench.Result](file)
	}
	return nil, &Error{Op: "report", Kind: KindUsage, Err: eris.Errorf("%s is not a result of the load tool", file)}
}

func readResult[T table](file string) (table, error) {
	var result T
	err := report.Load(file, &result)
	return result, err
}
