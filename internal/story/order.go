package story

import (
	"cmp"
	"slices"
	"time"
)

// align sets the time of each line that tells how long its process has run: all
// lines of an incarnation get one start, so that jumps of the time of day and
// lines that were written late don't change their order.
func align(lines []*Line) {
	starts := map[owner][]time.Time{}
	gathered := map[owner]bool{}
	for _, l := range lines {
		if l.Up != unknownUp && !l.At.IsZero() {
			starts[l.owner()] = append(starts[l.owner()], l.started())
			gathered[l.owner()] = l.gathered
		}
	}
	start := map[owner]time.Time{}
	for o, all := range starts {
		slices.SortFunc(all, time.Time.Compare)
		start[o] = all[len(all)/2]
		if gathered[o] {
			start[o] = all[0] // lines are gathered late, never early
		}
	}
	for _, l := range lines {
		if s, ok := start[l.owner()]; ok && l.Up != unknownUp {
			l.At = s.Add(time.Duration(l.Up) * time.Millisecond)
		}
	}
}

// started is when the process started by this line alone.
func (l *Line) started() time.Time {
	return l.At.Add(-time.Duration(l.Up) * time.Millisecond)
}

// sortLines orders lines by time, and lines of one instant as they were read.
func sortLines(lines []*Line) {
	slices.SortStableFunc(lines, func(a, b *Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.number, b.number))
	})
}
