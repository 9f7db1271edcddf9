package caller

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestParseResponse(t *testing.T) {
	complete := `{"outcome":"complete","results":[{"index":0,"result":{"value":0}},{"index":1,"result":{"value":1}}]}`
	tests := []struct {
		name   string
		status int
		text   string
		tasks  int
		want   parsedResponse
	}{
		{"complete", http.StatusOK, complete, 2, parsedResponse{outcome: Complete}},
		{"a result is missing", http.StatusOK, complete, 3, parsedResponse{outcome: Partial, reason: "missingResults"}},
		{"another task's result", http.StatusOK, `{"outcome":"complete","results":[{"index":0,"result":{"value":7}}]}`, 1, parsedResponse{outcome: Partial, reason: "wrongResult"}},
		{"refused", http.StatusTooManyRequests, `{"outcome":"notRun","reason":"queueFull"}`, 2, parsedResponse{outcome: NotRun, reason: "queueFull"}},
		{"failed", http.StatusBadGateway, `{"outcome":"failed","reason":"taskFailed"}`, 2, parsedResponse{outcome: Failed, reason: "taskFailed"}},
		{"conflict", http.StatusConflict, `{"reason":"keyConflict"}`, 2, parsedResponse{outcome: Failed, reason: "keyConflict"}},
		{"invalid JSON", http.StatusOK, `oops`, 2, parsedResponse{outcome: Lost, reason: "badBody"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(parseResponse(test.status, []byte(test.text), test.tasks), test.want)
		})
	}
}
