package caller

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestRead(t *testing.T) {
	whole := `{"outcome":"complete","results":[{"index":0,"result":{"value":0}},{"index":1,"result":{"value":1}}]}`
	tests := []struct {
		name   string
		status int
		text   string
		tasks  int
		want   reading
	}{
		{"complete", http.StatusOK, whole, 2, reading{outcome: Complete}},
		{"a result is missing", http.StatusOK, whole, 3, reading{outcome: Partial, reason: "missingResults"}},
		{"another task's result", http.StatusOK, `{"outcome":"complete","results":[{"index":0,"result":{"value":7}}]}`, 1, reading{outcome: Partial, reason: "wrongResult"}},
		{"refused", http.StatusTooManyRequests, `{"outcome":"notRun","reason":"queueFull"}`, 2, reading{outcome: NotRun, reason: "queueFull"}},
		{"failed", http.StatusBadGateway, `{"outcome":"failed","reason":"taskFailed"}`, 2, reading{outcome: Failed, reason: "taskFailed"}},
		{"conflict", http.StatusConflict, `{"reason":"keyConflict"}`, 2, reading{outcome: Failed, reason: "keyConflict"}},
		{"no JSON", http.StatusOK, `oops`, 2, reading{outcome: Lost, reason: "badBody"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(read(test.status, []byte(test.text), test.tasks), test.want)
		})
	}
}
