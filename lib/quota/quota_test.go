package quota

import (
	"testing"

	"github.com/matryer/is"
)

func TestAccount(t *testing.T) {
	cases := []struct {
		name     string
		account  Account
		used     float64
		mayStart bool
	}{
		{"new", Account{}, 0, true},
		{"no weight counts as one", Account{}.WithStarted(2), 2, true},
		{"weight", Account{}.WithSettings(4, 0).WithStarted(2), 0.5, true},
		{"at the limit", Account{}.WithSettings(1, 1).WithStarted(1), 1, false},
		{"below the limit again", Account{}.WithSettings(1, 1).WithStarted(1).WithEnded(), 1, true},
		{"active again after idling", Account{Used: 1}.WithFloor(5), 5, true},
		{"active again with more used", Account{Used: 9}.WithFloor(5), 9, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.account.Used, c.used)
			is.Equal(c.account.MayStart(), c.mayStart)
		})
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget()
	spent := 0
	for ok := true; ok; spent++ {
		b, ok = b.WithRetry()
	}
	is.Equal(spent-1, maxRetries)
	for range 11 {
		b = b.WithStart()
	}
	b, ok := b.WithRetry()
	is.True(ok) // eleven starts add one retry
	_, ok = b.WithRetry()
	is.True(!ok) // and not a second one
}
