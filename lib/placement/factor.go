package placement

import "slices"

// Best is the speed of the best of some workers, 1 where there is none.
func Best(factors []float64) float64 {
	if len(factors) == 0 {
		return 1
	}
	return slices.Min(factors)
}

// soundFactor is how many times as long as at the middle worker a task may take
// at one that counts as sound.
const soundFactor = 3

// Usual is the mean speed of the sound ones of some workers, 1 where there is
// none. What a caller may expect of a job is told by it: few jobs find room at
// the best worker, and one that has become slow must not lower what is expected.
func Usual(factors []float64) float64 {
	if len(factors) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(factors))
	limit := soundFactor * sorted[(len(sorted)-1)/2]
	sum, n := 0.0, 0
	for _, f := range sorted {
		if f > limit {
			break
		}
		sum += f
		n++
	}
	return sum / float64(n)
}
