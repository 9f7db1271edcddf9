package slope

import (
	"fmt"
	"io"
)

const (
	percent  = 100
	megabyte = 1 << 20
	kilobyte = 1000
)

// Markdown writes the points and the slopes as tables.
func (r Result) Markdown(w io.Writer) {
	r.Origin.Markdown(w)
	fmt.Fprintln(w, "| agents | entries | control hosts | phase | starts/s | directory changes | role | CPU, % of a core | RSS, MB | KB/s in and out | requests/s served | CPU µs a start |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, p := range r.Points {
		p.pointRows(w)
	}
	fmt.Fprintln(w)
	r.fitTable(w)
	r.recordLines(w)
}

func (p Point) pointRows(w io.Writer) {
	if p.Error != "" {
		fmt.Fprintf(w, "| %d | %d | %d | %s | not run: %s |\n", p.Agents, p.Entries, p.Controls, p.Phase, p.Error)
	}
	for _, r := range p.Roles {
		fmt.Fprintf(w, "| %d | %d | %d | %s | %.0f | %d | %s | %.2f | %.1f | %.1f | %.1f | %.1f |\n",
			p.Agents, p.Entries, p.Controls, p.Phase, p.StartsPerSecond, p.DirectoryChanges, r.Name, r.CPU*percent,
			r.RSSBytes/megabyte, r.BytesPerSecond/kilobyte, r.RequestsPerSecond, r.CPUMicrosPerStart)
	}
}

// fitTable writes the lines fitted to the points with one entry, for each role
// and phase.
func (r Result) fitTable(w io.Writer) {
	fmt.Fprintln(w, "Least squares over the points with one entry; base + slope for each agent:")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| phase | role | CPU, % of a core | RSS, MB | KB/s | requests/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|")
	for _, phase := range []string{Idle, Busy} {
		for _, name := range []string{Leader, Follower, Entry, Agent} {
			r.fitRow(w, phase, name)
		}
	}
	fmt.Fprintln(w)
}

func (r Result) fitRow(w io.Writer, phase, name string) {
	f, ok := r.Fit(phase, name)
	if !ok {
		return
	}
	fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", phase, name, f.CPU, f.RSS, f.KBSecond, f.Requests)
}

// String returns the line as base + slope n.
func (l Line) String() string { return fmt.Sprintf("%.3g + %.3g n", l.Base, l.Slope) }

func (r Result) recordLines(w io.Writer) {
	for _, k := range r.Keys {
		if k.Error != "" {
			fmt.Fprintf(w, "Records: not run: %s\n", k.Error)
			continue
		}
		fmt.Fprintf(w, "Records: %d jobs of one task on %d agents, 3 copies each: RSS of an agent %.1f MB before, %.1f MB after, %.0f bytes a record; entry %.1f MB before, %.1f MB after.\n",
			k.Jobs, k.Agents, k.RSSBefore/megabyte, k.RSSAfter/megabyte, k.BytesPerRecord, k.EntryBefore/megabyte, k.EntryAfter/megabyte)
	}
}
