package cmd

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"skylarklane.example/load/internal/report"
)

// folders are the flags that the measuring commands share.
type folders struct {
	Bin string `help:"Folder of the programs; make build fills it." default:"bin"`
	Out string `help:"Folder of the results." default:"out"`
}

// createOut creates the folder for the results.
func (f folders) createOut(op string) error {
	if err := os.MkdirAll(f.Out, 0o755); err != nil {
		return &Error{Op: op, Kind: KindUsage, Err: eris.Wrap(err, "cannot create the folder for the results")}
	}
	return nil
}

// save writes a result as NAME.json.
func (f folders) save(name string, result any) error {
	return report.Save(filepath.Join(f.Out, name+".json"), result)
}
