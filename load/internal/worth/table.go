package worth

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

const (
	// worstWindowCount is the number of time windows in the table of the worst.
	worstWindowCount = 4
	// minListedPrice is the price below which a cause is left out of the table.
	minListedPrice = 0.0005
)

// Markdown writes the tables of a day.
func (d Day) Markdown(w io.Writer) {
	fmt.Fprintf(w, "**%s**: worth %.3f\n\n", d.Name, d.Worth)
	d.causeTable(w)
	d.groups(w, "kind", d.Kinds)
	d.groups(w, "from second", d.worstWindows())
}

// causeTable writes what was deducted from the worth, the largest first.
func (d Day) causeTable(w io.Writer) {
	var lost []Price
	for _, p := range d.Parts {
		lost = append(lost, Price{Cause: p.Name, Worth: p.Lost()})
	}
	for _, p := range d.Prices {
		if p.Worth >= minListedPrice {
			lost = append(lost, p)
		}
	}
	slices.SortStableFunc(lost, func(a, b Price) int { return cmp.Compare(b.Worth, a.Worth) })
	fmt.Fprintln(w, "| cause | amount | worth lost |")
	fmt.Fprintln(w, "|---|---|---|")
	for _, p := range lost {
		fmt.Fprintf(w, "| %s | %s | %.4f |\n", p.Cause, formatAmount(p.Amount), p.Worth)
	}
	fmt.Fprintln(w)
}

// formatAmount returns an empty text for 0: the parts of the worth have no
// amount.
func formatAmount(value float64) string {
	if value == 0 {
		return ""
	}
	return fmt.Sprintf("%.4g", value)
}

// groups writes a table of groups with the outcomes of their requests.
func (d Day) groups(w io.Writer, title string, groups []Group) {
	fmt.Fprintf(w, "| %s | owed | late | refused | failed | worth lost | meanwhile |\n", title)
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, g := range groups {
		fmt.Fprintf(w, "| %s | %d | %d | %d | %d | %.1f%% | %s |\n",
			g.Name, g.Owed(), g.Late, g.Refused, g.Failed, percent*g.Lost(), strings.Join(d.faultsInWindow(g), ", "))
	}
	fmt.Fprintln(w)
}

// percent converts a fraction to per cent.
const percent = 100

// worstWindows returns the time windows that lost the largest share of their
// worth, in the order of time.
func (d Day) worstWindows() []Group {
	groups := slices.Clone(d.Seconds)
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Compare(a.Worth, b.Worth) })
	groups = groups[:min(len(groups), worstWindowCount)]
	slices.SortFunc(groups, func(a, b Group) int {
		first, _ := a.Start()
		second, _ := b.Start()
		return cmp.Compare(first, second)
	})
	return groups
}

// faultsInWindow returns the kinds of the faults in the time window of a group.
func (d Day) faultsInWindow(g Group) []string {
	start, ok := g.Start()
	if !ok {
		return nil
	}
	return d.faultsDuring(start, start+d.windowSeconds())
}

// windowSeconds returns the length of the report's time windows.
func (d Day) windowSeconds() float64 {
	if len(d.Seconds) < 2 {
		return 1
	}
	first, _ := d.Seconds[0].Start()
	second, _ := d.Seconds[1].Start()
	return second - first
}
