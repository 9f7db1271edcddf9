package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms hold integers: values in units of 1/1000, with three significant
// digits. For milliseconds, the range is one microsecond to one hour; for
// ratios, 0.001 to 3.6 million.
const (
	histogramMin    = 1
	histogramMax    = 3_600_000_000
	histogramDigits = 3
	histogramUnit   = 1000
)

// Percentiles holds percentiles and the maximum of a quantity.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// histogram collects values of a quantity in units of 1/histogramUnit.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(histogramMin, histogramMax, histogramDigits)}
}

func (h histogram) add(x float64) {
	_ = h.h.RecordValue(min(max(int64(x*histogramUnit), histogramMin), histogramMax))
}

func (h histogram) addMillis(d time.Duration) {
	h.add(float64(d) / float64(time.Millisecond))
}

func (h histogram) percentiles() Percentiles {
	return Percentiles{P50: h.atPercentile(50), P90: h.atPercentile(90), P99: h.atPercentile(99), Max: float64(h.h.Max()) / histogramUnit}
}

func (h histogram) atPercentile(percent float64) float64 {
	return float64(h.h.ValueAtQuantile(percent)) / histogramUnit
}

// Summarize returns the percentiles of durations, in milliseconds.
func Summarize(durations []time.Duration) Percentiles {
	h := newHistogram()
	for _, d := range durations {
		h.addMillis(d)
	}
	return h.percentiles()
}
