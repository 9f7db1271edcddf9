package placement

import "slices"

// Best is the speed of the best of some workers, 1 where there is none.
func Best(factors []float64) float64 {
	if len(factors) == 0 {
		return 1
	}
	return slices.Min(factors)
}

// Usual is the mean speed of some workers, 1 where there is none. What a caller
// may expect of a job is told by it: few jobs find room at the best worker.
func Usual(factors []float64) float64 {
	if len(factors) == 0 {
		return 1
	}
	sum := 0.0
	for _, f := range factors {
		sum += f
	}
	return sum / float64(len(factors))
}
