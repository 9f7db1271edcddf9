package report

import (
	"testing"

	"github.com/matryer/is"

	"skylarklane.example/load/internal/judge"
)

func TestMessages(t *testing.T) {
	tests := []struct {
		name string
		cell Cell
		want Messages
	}{
		{"starts and renewals", Cell{
			Verdict:  judge.Verdict{Starts: 10},
			Requests: []Count{{"Agent.Start", 10}, {"Agent.Claim", 5}, {"Control.Renew", 7}, {"Ledger.Hold", 1}},
		}, Messages{Work: 22, Steady: 24}},
		{"refused starts, in vain", Cell{
			Verdict:  judge.Verdict{Starts: 8},
			Requests: []Count{{"Agent.Start", 10}, {"Entry.Borrow", 3}, {"Entry.Offer", 4}},
			Counters: []Count{{"entry_borrowings_in_vain", 2}, {"entry_offers_declined", 1}},
		}, Messages{Work: 34, Wasted: 10}},
		{"probes", Cell{
			Verdict:  judge.Verdict{Starts: 5},
			Requests: []Count{{"Agent.Start", 5}, {"Agent.Claim", 12}},
			Counters: []Count{{"entry_probes", 10}},
		}, Messages{Work: 30, Steady: 4, Wasted: 10}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(test.cell.Messages(), test.want)
		})
	}
}
