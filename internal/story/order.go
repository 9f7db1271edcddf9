package story

import (
	"cmp"
	"slices"
	"time"
)

// align recomputes the time of each line that has the time since the start of
// its process, from one common start time per incarnation. So wall-clock jumps
// and lines that were written late don't change the order.
func align(lines []*Line) {
	starts := map[owner][]time.Time{}
	collected := map[owner]bool{}
	for _, l := range lines {
		if l.Up != unknownUp && !l.At.IsZero() {
			starts[l.owner()] = append(starts[l.owner()], l.started())
			collected[l.owner()] = l.collected
		}
	}
	start := map[owner]time.Time{}
	for o, all := range starts {
		slices.SortFunc(all, time.Time.Compare)
		start[o] = all[len(all)/2]
		if collected[o] {
			start[o] = all[0] // collected lines can be late but never early
		}
	}
	for _, l := range lines {
		if s, ok := start[l.owner()]; ok && l.Up != unknownUp {
			l.At = s.Add(time.Duration(l.Up) * time.Millisecond)
		}
	}
}

// started returns the start time of the process as computed from this line
// alone.
func (l *Line) started() time.Time {
	return l.At.Add(-time.Duration(l.Up) * time.Millisecond)
}

// sortLines sorts lines by time, and lines of the same time in the order in
// which they were read.
func sortLines(lines []*Line) {
	slices.SortStableFunc(lines, func(a, b *Line) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.number, b.number))
	})
}
