package quota

const (
	// budgetPart is how much of a retry one start earns.
	budgetPart = 0.1
	// budgetMax bounds the retries saved up.
	budgetMax = 100
)

// Budget keeps retries below a part of the starts. The zero value is empty.
type Budget struct {
	saved float64
}

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{saved: budgetMax} }

// WithStart returns the budget after a start, which earns a part of a retry.
func (b Budget) WithStart() Budget {
	b.saved = min(b.saved+budgetPart, budgetMax)
	return b
}

// WithRetry returns the budget after a retry, and false where there is none
// left.
func (b Budget) WithRetry() (Budget, bool) {
	if b.saved < 1 {
		return b, false
	}
	b.saved--
	return b, true
}
