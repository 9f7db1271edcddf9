package settings

import "strings"

// nearest returns a hint with the name most similar to name, such as name with a
// missing unit, or else with all valid names.
func nearest(name string, names []string) string {
	best, bestDistance := "", len(name)/2+1
	for _, candidate := range names {
		if len(name) > 1 && strings.HasPrefix(candidate, name) {
			best, bestDistance = candidate, 0
		}
		if d := distance(strings.ToLower(name), strings.ToLower(candidate)); d <= bestDistance {
			best, bestDistance = candidate, d-1
		}
	}
	if best != "" {
		return `; did you mean "` + best + `"?`
	}
	return "; valid names are " + strings.Join(names, ", ")
}

// distance returns the Levenshtein distance of a and b in bytes.
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
