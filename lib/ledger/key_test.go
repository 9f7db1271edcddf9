package ledger

import (
	"testing"

	"github.com/matryer/is"
)

func TestSubmissionTime(t *testing.T) {
	tests := []struct {
		name      string
		key       string
		submitted int64
		want      int64
	}{
		{"no submission time", "key", 0, 0},
		{"given by the caller", "key", 7, 7},
		{"version 7", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0, 1645557742000},
		{"earlier than the UUID's", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1, 1},
		{"version 4", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", 0, 0},
		{"wrong variant", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f", 0, 0},
		{"not hexadecimal", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g", 0, 0},
		{"dashes elsewhere", "017f22e279b0--7cc3-98c4dc0c0c07398f1", 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(SubmissionTime(test.key, test.submitted), test.want)
		})
	}
}
