// Package report defines the results of measurements, stores them as JSON and
// renders them as tables and plots.
package report

import (
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"

	"skylarklane.example/load/internal/judge"
)

// Kind sorts the errors of this package.
type Kind int

// The kinds of error.
const (
	KindFile Kind = iota + 1
	KindSyntax
	KindPlot
)

// Error is an error of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Origin describes where and how a result was measured.
type Origin struct {
	// Type is the type of the result: experiment, slopes, rollout, recovery or
	// bench.
	Type    string `json:"type"`
	Command string `json:"command"`
	Commit  string `json:"commit"`
	Began   string `json:"began"`
	Cores   int    `json:"cores"`
	Memory  int64  `json:"memoryBytes"`
	// LoadBefore and LoadAfter are the content of /proc/loadavg, as other work
	// may have run on the machine.
	LoadBefore string `json:"loadBefore"`
	LoadAfter  string `json:"loadAfter"`
}

// Result is the result of one experiment.
type Result struct {
	Name      string  `json:"name"`
	Origin    Origin  `json:"origin"`
	TimeScale float64 `json:"timeScale"`
	Workers   int     `json:"workers"`
	Cells     []Cell  `json:"cells"`
}

// Cell is one measured run.
type Cell struct {
	Name        string  `json:"name"`
	Placement   string  `json:"placement"`
	Entries     int     `json:"entries"`
	LoadAverage string  `json:"loadAverage"`
	Seconds     float64 `json:"seconds"`
	Jobs        int     `json:"jobs"`
	Tasks       int     `json:"tasks"`
	// OfferedLoad is the work of the trace divided by the capacity of the
	// workers.
	OfferedLoad float64       `json:"offeredLoad"`
	Urgencies   []Urgency     `json:"urgencies"`
	Outcomes    []Count       `json:"outcomes"`
	Verdict     judge.Verdict `json:"verdict"`
	Requests    []Count       `json:"requests"`
	// Counters are all other counters that changed during the cell.
	Counters []Count `json:"counters"`
	Uses     []Use   `json:"uses"`
	// Error is set if the cell could not be run to its end.
	Error string `json:"error,omitempty"`
}

// Urgency holds the response times of the complete jobs of one urgency; "all"
// holds those of all jobs.
type Urgency struct {
	Name string `json:"name"`
	Jobs int    `json:"jobs"`
	// Response and Central are in milliseconds.
	Response Percentiles `json:"response"`
	Central  Percentiles `json:"central"`
	// OverAlone and OverCentral are the ratios of each job's response to its
	// ideal response: alone in the system, and under the central queue.
	OverAlone   Percentiles `json:"overAlone"`
	OverCentral Percentiles `json:"overCentral"`
}

// Count is a number with a name.
type Count struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Use is what a process used during a cell.
type Use struct {
	Name       string  `json:"name"`
	CPUSeconds float64 `json:"cpuSeconds"`
	RSSBytes   int64   `json:"rssBytes"`
	Bytes      int64   `json:"bytes"`
}

// Save writes v as JSON.
func Save(path string, v any) error {
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return &Error{Op: "save", Kind: KindSyntax, Err: err}
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return &Error{Op: "save", Kind: KindFile, Err: eris.Wrap(err, "cannot write the result")}
	}
	return nil
}

// Load reads JSON into v.
func Load(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return &Error{Op: "load", Kind: KindFile, Err: eris.Wrap(err, "cannot read the result")}
	}
	if err := json.Unmarshal(text, v); err != nil {
		return &Error{Op: "load", Kind: KindSyntax, Err: eris.Wrap(err, path)}
	}
	return nil
}
