package placement

import "slices"

// BestFactor returns the lowest run time factor, that of the fastest worker; 1 if
// factors is empty.
func BestFactor(factors []float64) float64 {
	if len(factors) == 0 {
		return 1
	}
	return slices.Min(factors)
}

// MeanFactor returns the mean run time factor; 1 if factors is empty. The ideal
// run time of a job is based on it rather than on the best factor, because few
// jobs find room at the fastest worker.
func MeanFactor(factors []float64) float64 {
	if len(factors) == 0 {
		return 1
	}
	sum := 0.0
	for _, f := range factors {
		sum += f
	}
	return sum / float64(len(factors))
}
