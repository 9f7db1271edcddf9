package quota

const (
	// retriesPerStart is the part of a retry that each start earns.
	retriesPerStart = 0.1
	// maxSavedRetries bounds the retries that can be saved up.
	maxSavedRetries = 100
)

// Budget limits retries to a fraction of the starts. The zero value is empty.
type Budget struct {
	saved float64
}

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{saved: maxSavedRetries} }

// WithStart returns the budget after a start, which earns a part of a retry.
func (b Budget) WithStart() Budget {
	b.saved = min(b.saved+retriesPerStart, maxSavedRetries)
	return b
}

// WithRetry returns the budget after a retry, or false if it is used up.
func (b Budget) WithRetry() (Budget, bool) {
	if b.saved < 1 {
		return b, false
	}
	b.saved--
	return b, true
}
