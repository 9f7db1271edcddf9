package process

import (
	"context"
	"net/http"
)

// WithDrain returns a handler that calls drain on the operators' drain request
// and passes all other requests to h. Drain must not block.
func WithDrain(h http.Handler, drain context.CancelFunc) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("POST "+adminPrefix+"drain", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		drain()
	})
	return mux
}
