package quota

const (
	// retriesPerStart is the fraction of a retry that each start adds.
	retriesPerStart = 0.1
	// maxRetries is the size of a full budget.
	maxRetries = 100
)

// RetryBudget is a token bucket that limits retries to a fraction of the starts.
// The zero value is empty.
type RetryBudget struct {
	available float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() RetryBudget { return RetryBudget{available: maxRetries} }

// WithStart returns the budget after a start, which adds a fraction of a retry.
func (b RetryBudget) WithStart() RetryBudget {
	b.available = min(b.available+retriesPerStart, maxRetries)
	return b
}

// WithRetry returns the budget after a retry, or the same budget and false if it
// is used up.
func (b RetryBudget) WithRetry() (RetryBudget, bool) {
	if b.available < 1 {
		return b, false
	}
	b.available--
	return b, true
}
