package report

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms: a thousandth of a millisecond to an hour, or a
// ratio of a millionth to an hour's worth, with three significant digits.
const (
	histogramMin    = 1
	histogramMax    = 3_600_000_000
	histogramDigits = 3
	histogramUnit   = 1000
)

// Percentiles of a quantity.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// histogram gathers a quantity in thousandths.
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
	return Percentiles{P50: h.at(50), P90: h.at(90), P99: h.at(99), Max: float64(h.h.Max()) / histogramUnit}
}

func (h histogram) at(percent float64) float64 {
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
