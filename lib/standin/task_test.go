package standin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestServerRunsTasks(t *testing.T) {
	tests := []struct {
		name     string
		options  Options
		body     string
		status   int
		duration time.Duration
	}{
		{"declared speed", Options{Speed: 1}, `{"runMillis":100}`, http.StatusOK, 100 * time.Millisecond},
		{"half speed", Options{Speed: 0.5}, `{"runMillis":100}`, http.StatusOK, 200 * time.Millisecond},
		{"network delay", Options{Speed: 1, Delay: time.Millisecond}, `{"runMillis":100}`, http.StatusOK, 102 * time.Millisecond},
		{"straggler", Options{Speed: 1, StragglerFactor: 5, StragglerInterval: 1}, `{"runMillis":100}`, http.StatusOK, 500 * time.Millisecond},
		{"warm-up", Options{Speed: 1, WarmUp: time.Second}, `{"runMillis":100}`, http.StatusOK, 1100 * time.Millisecond},
		{"failed task", Options{Speed: 1}, `{"runMillis":100,"fail":true}`, http.StatusInternalServerError, 100 * time.Millisecond},
		{"all tasks fail", Options{Speed: 1, FailAll: true}, `{"runMillis":100}`, http.StatusInternalServerError, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &Server{options: test.options, startedAt: time.Now()}
				begin := time.Now()
				w := httptest.NewRecorder()
				s.handle(w, httptest.NewRequest(http.MethodPost, "/run", strings.NewReader(test.body)))
				is.Equal(w.Code, test.status)
				is.Equal(time.Since(begin), test.duration)
				is.Equal(s.Count(), 1)
			})
		})
	}
}

func TestServerStopsCancelledTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &Server{options: Options{Speed: 1}, startedAt: time.Now()}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		begin := time.Now()
		r := httptest.NewRequest(http.MethodPost, "/run", strings.NewReader(`{"runMillis":1000}`))
		s.handle(httptest.NewRecorder(), r.WithContext(ctx))
		is.Equal(time.Since(begin), 30*time.Millisecond)
		is.Equal(len(s.Starts()), 1) // a cancelled task still counts as started
	})
}
