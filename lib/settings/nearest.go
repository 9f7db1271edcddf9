package settings

import "strings"

// nearest suggests the name that was probably meant, such as one with the unit
// that was left out, or lists them all.
func nearest(name string, names []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, one := range names {
		if len(name) > 1 && strings.HasPrefix(one, name) {
			best, bestDistance = one, 0
		}
		if d := distance(strings.ToLower(name), strings.ToLower(one)); d <= bestDistance {
			best, bestDistance = one, d-1
		}
	}
	if best != "" {
		return `; did you mean "` + best + `"?`
	}
	return "; known are " + strings.Join(names, ", ")
}

// distance counts the letters to add, drop or change from a to b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			change := diagonal
			if a[i] != b[j] {
				change++
			}
			diagonal = row[j+1]
			row[j+1] = min(change, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
