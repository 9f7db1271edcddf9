package cmd

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"skylarklane.example/load/internal/report"
)

// places are the folders that the measuring commands share.
type places struct {
	Bin string `help:"Folder of the programs; make build fills it." default:"bin"`
	Out string `help:"Folder of the results." default:"out"`
}

// make creates the folder of the results.
func (p places) make(op string) error {
	if err := os.MkdirAll(p.Out, 0o755); err != nil {
		return &Error{Op: op, Kind: KindUsage, Err: eris.Wrap(err, "cannot make the folder of the results")}
	}
	return nil
}

// save writes a result as NAME.json.
func (p places) save(name string, result any) error {
	return report.Save(filepath.Join(p.Out, name+".json"), result)
}
