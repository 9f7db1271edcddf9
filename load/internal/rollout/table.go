package rollout

import (
	"fmt"
	"io"
)

const megabyte = 1 << 20

// Markdown writes the result as a table.
func (r Result) Markdown(w io.Writer) {
	r.Origin.Markdown(w)
	if r.Error != "" {
		fmt.Fprintf(w, "Not run to its end: %s\n\n", r.Error)
	}
	fmt.Fprintln(w, "| changes accepted | a second | processes restarted | accept p50 / p99 ms | in force p50 / p99 / max ms | timed | late | reverted | control RSS, MB | data folder, MB | bytes a change |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|")
	fmt.Fprintf(w, "| %d of %d | %.0f | %d | %.1f / %.1f | %.0f / %.0f / %.0f | %d | %d | %d | %.1f | %.1f | %d |\n\n",
		r.Accepted, r.Options.Changes, r.PerSecond, r.Restarted, r.Accept.P50, r.Accept.P99,
		r.InForce.P50, r.InForce.P99, r.InForce.Max, r.Timed, r.Late, r.Reverted,
		float64(r.ControlRSS)/megabyte, float64(r.ControlDisk)/megabyte, r.ChangeBytes)
}
