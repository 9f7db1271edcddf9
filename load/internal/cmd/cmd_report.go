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

// table is a result that can be rendered.
type table interface {
	Markdown(w io.Writer)
}

// Run writes the tables of each result.
func (c *cmdReport) Run(e *env) error {
	for _, file := range c.Files {
		t, err := load(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(e.out, "<!-- %s -->\n\n", file)
		t.Markdown(e.out)
	}
	return nil
}

func load(file string) (table, error) {
	var head struct{ Origin report.Origin }
	if err := report.Load(file, &head); err != nil {
		return nil, err
	}
	switch head.Origin.Type {
	case "experiment":
		return read[report.Result](file)
	case "slopes":
		return read[slope.Result](file)
	case "rollout":
		return read[rollout.Result](file)
	case "recovery":
		return read[recovery.Result](file)
	case "bench":
		return read[bench.Result](file)
	}
	return nil, &Error{Op: "report", Kind: KindUsage, Err: eris.Errorf("%s holds no result", file)}
}

func read[T table](file string) (table, error) {
	var result T
	err := report.Load(file, &result)
	return result, err
}
