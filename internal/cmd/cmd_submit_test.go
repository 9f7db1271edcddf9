package cmd

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestReadPayloads(t *testing.T) {
	tests := []struct {
		name, text string
		want       []string
		wrong      string
	}{
		{"one a line", "{\"a\":1}\n2\n\"x\"\n", []string{`{"a":1}`, "2", `"x"`}, ""},
		{"on one line", "1 2", []string{"1", "2"}, ""},
		{"an array is one task", "[1,2]", []string{"[1,2]"}, ""},
		{"nothing", "  \n", nil, "no payloads"},
		{"broken", "1 {", nil, "payload 1 is not JSON"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			payloads, err := readPayloads(strings.NewReader(test.text))
			if test.wrong != "" {
				is.True(err != nil && strings.Contains(err.Error(), test.wrong))
				return
			}
			is.NoErr(err)
			is.Equal(len(payloads), len(test.want))
			for n, p := range payloads {
				is.Equal(string(p.Payload), test.want[n])
			}
		})
	}
}

func TestSubmitAnswerKinds(t *testing.T) {
	tests := []struct {
		name   string
		status int
		answer submitAnswer
		kind   Kind
	}{
		{"refused", http.StatusServiceUnavailable, submitAnswer{Outcome: "notRun"}, KindRefused},
		{"other content", http.StatusConflict, submitAnswer{}, KindRefused},
		{"failed", http.StatusBadGateway, submitAnswer{Outcome: "failed"}, KindFailed},
		{"unknown key", http.StatusNotFound, submitAnswer{}, KindFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var e *Error
			is.True(errors.As(test.answer.err(test.status), &e))
			is.Equal(e.Kind, test.kind)
		})
	}
	is.New(t).NoErr(submitAnswer{Outcome: "complete"}.err(http.StatusOK))
}
