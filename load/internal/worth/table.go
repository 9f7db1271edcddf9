package worth

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
)

const (
	// worstSeconds is how many of the day's seconds the table names.
	worstSeconds = 4
	// leastPrice is the price below which a cause is left out.
	leastPrice = 0.0005
)

// Markdown writes the tables of a day.
func (d Day) Markdown(w io.Writer) {
	fmt.Fprintf(w, "**%s**: worth %.3f\n\n", d.Name, d.Worth)
	d.causes(w)
	d.groups(w, "kind", d.Kinds)
	d.groups(w, "from second", d.worst())
}

// causes lists what was taken off the worth, the most first.
func (d Day) causes(w io.Writer) {
	var lost []Price
	for _, p := range d.Parts {
		lost = append(lost, Price{Cause: p.Name, Worth: p.Lost()})
	}
	for _, p := range d.Prices {
		if p.Worth >= leastPrice {
			lost = append(lost, p)
		}
	}
	slices.SortStableFunc(lost, func(a, b Price) int { return cmp.Compare(b.Worth, a.Worth) })
	fmt.Fprintln(w, "| cause | amount | worth lost |")
	fmt.Fprintln(w, "|---|---|---|")
	for _, p := range lost {
		fmt.Fprintf(w, "| %s | %s | %.4f |\n", p.Cause, amount(p.Amount), p.Worth)
	}
	fmt.Fprintln(w)
}

// amount is empty for a part of the worth, which has none.
func amount(value float64) string {
	if value == 0 {
		return ""
	}
	return fmt.Sprintf("%.4g", value)
}

// groups lists groups with what became of their requests.
func (d Day) groups(w io.Writer, title string, groups []Group) {
	fmt.Fprintf(w, "| %s | owed | late | refused | failed | worth lost | meanwhile |\n", title)
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, g := range groups {
		fmt.Fprintf(w, "| %s | %d | %d | %d | %d | %.1f%% | %s |\n",
			g.Name, g.Owed(), g.Late, g.Refused, g.Failed, percent*g.Lost(), strings.Join(d.meanwhile(g), ", "))
	}
	fmt.Fprintln(w)
}

// percent turns a share into per cent.
const percent = 100

// worst returns the times that lost the largest share of their worth, in order.
func (d Day) worst() []Group {
	groups := slices.Clone(d.Seconds)
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Compare(a.Worth, b.Worth) })
	groups = groups[:min(len(groups), worstSeconds)]
	slices.SortFunc(groups, func(a, b Group) int {
		first, _ := a.Start()
		second, _ := b.Start()
		return cmp.Compare(first, second)
	})
	return groups
}

// meanwhile names what happened in the time of a group.
func (d Day) meanwhile(g Group) []string {
	start, ok := g.Start()
	if !ok {
		return nil
	}
	return d.during(start, start+d.step())
}

// step is the length of the times that the report counts by, in seconds.
func (d Day) step() float64 {
	if len(d.Seconds) < 2 {
		return 1
	}
	first, _ := d.Seconds[0].Start()
	second, _ := d.Seconds[1].Start()
	return second - first
}
