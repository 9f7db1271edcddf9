package placement

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFactors(t *testing.T) {
	for _, c := range []struct {
		name       string
		factors    []float64
		best, mean float64
	}{
		{"no workers", nil, 1, 1},
		{"one", []float64{1.5}, 1.5, 1.5},
		{"few fast workers", []float64{0.5, 1.2, 1.3}, 0.5, 1},
		{"few slow workers", []float64{0.7, 0.7, 1.6}, 0.7, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(BestFactor(c.factors), c.best)
			is.True(math.Abs(MeanFactor(c.factors)-c.mean) < 1e-9)
		})
	}
}
