package recovery

import (
	"fmt"
	"io"
)

// Markdown writes the result as a table.
func (r Result) Markdown(w io.Writer) {
	r.Origin.Markdown(w)
	fmt.Fprintln(w, "| killed | jobs | held up for, s | held up or failed | failed | refused | lost | doubled | partial | false refusals |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
	for _, k := range r.Kills {
		if k.Error != "" {
			fmt.Fprintf(w, "| %s | not run: %s |\n", k.Victim, k.Error)
			continue
		}
		v := k.Verdict
		fmt.Fprintf(w, "| %s | %d | %.2f | %d | %d | %d | %d | %d | %d | %d |\n",
			k.Victim, k.Jobs, k.Seconds, k.HeldUp, k.Failed, k.NotRun, v.Lost, v.Doubled, v.Partial, v.FalseRefusals)
	}
	fmt.Fprintln(w)
}
