package report

import (
	"fmt"
	"io"
	"strings"
)

// Markdown writes the tables of a result.
func (r Result) Markdown(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n", r.Name)
	r.Origin.Markdown(w)
	fmt.Fprintf(w, "%d workers. Run times are scaled by %g.\n\n", r.Workers, r.TimeScale)
	r.responseTable(w)
	r.guaranteeTable(w)
}

// Markdown writes the origin as a paragraph.
func (o Origin) Markdown(w io.Writer) {
	fmt.Fprintf(w, "`%s` at commit %s, begun %s, on %d cores and %d GB; /proc/loadavg was `%s` before and `%s` after.\n\n",
		o.Command, o.Commit, o.Began, o.Cores, o.Memory>>30, o.LoadBefore, o.LoadAfter)
}

func (r Result) responseTable(w io.Writer) {
	fmt.Fprintln(w, "Response over the clairvoyant central queue (percentile over percentile), and each job over the job alone:")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| cell | placement | entries | offered load | urgency | jobs | p50 ms | p99 ms | p50 / queue | p90 / queue | p99 / queue | alone p50 | alone p99 |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range r.Cells {
		for _, u := range c.Urgencies {
			fmt.Fprintf(w, "| %s | %s | %d | %.0f%% | %s | %d | %.1f | %.1f | %.2f | %.2f | %.2f | %.2f | %.2f |\n",
				c.Name, c.Placement, c.Entries, c.OfferedLoad*percent, u.Name, u.Jobs, u.Response.P50, u.Response.P99,
				ratio(u.Response.P50, u.Central.P50), ratio(u.Response.P90, u.Central.P90), ratio(u.Response.P99, u.Central.P99),
				u.OverAlone.P50, u.OverAlone.P99)
		}
	}
	fmt.Fprintln(w)
}

func (r Result) guaranteeTable(w io.Writer) {
	fmt.Fprintln(w, "Messages and promises:")
	fmt.Fprintln(w)
	fmt.Fprintln(w, "| cell | placement | jobs | tasks | messages a task | wasted | on timers a s | lost | doubled | partial | false refusals | other | outcomes |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range r.Cells {
		m := c.Messages()
		v := c.Verdict
		fmt.Fprintf(w, "| %s | %s | %d | %d | %.2f | %.2f%% | %.0f | %d | %d | %d | %d | %d | %s |\n",
			c.Name, c.Placement, c.Jobs, c.Tasks, c.PerTask(), percent*ratio(m.Wasted, m.Work), ratio(m.Steady, c.Seconds),
			v.Lost, v.Doubled, v.Partial, v.FalseRefusals, v.Unstarted+v.Differing, c.outcomes())
	}
	fmt.Fprintln(w)
}

func (c Cell) outcomes() string {
	var all []string
	for _, count := range c.Outcomes {
		all = append(all, fmt.Sprintf("%s %.0f", count.Name, count.Value))
	}
	if c.Error != "" {
		all = append(all, "not run to its end: "+c.Error)
	}
	return strings.Join(all, ", ")
}

// percent converts a fraction to per cent.
const percent = 100

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
