package placement

const (
	// oddsPart is the weight of the newest try.
	oddsPart = 0.2
	// worthOdds is the part of tries that must succeed.
	worthOdds = 0.3
	// probeEvery is how seldom something is tried that isn't worth it.
	probeEvery = 16
)

// Odds is how often something has failed lately. The zero value never has.
type Odds struct {
	vain float64
}

// WithResult returns the odds after a try.
func (o Odds) WithResult(found bool) Odds {
	failed := 1.0
	if found {
		failed = 0
	}
	o.vain += oddsPart * (failed - o.vain)
	return o
}

// Worth tells whether the try with that number is worth its cost.
func (o Odds) Worth(number uint64) bool {
	return o.vain < 1-worthOdds || number%probeEvery == 0
}
