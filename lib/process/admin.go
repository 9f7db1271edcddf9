package process

import (
	"context"
	"net/http"
)

// WithDrain serves the operators' call that asks a process to leave, and
// everything else by h. Drain must return at once.
func WithDrain(h http.Handler, drain context.CancelFunc) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", h)
	mux.HandleFunc("POST "+adminPrefix+"drain", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusAccepted)
		drain()
	})
	return mux
}

// CloseConnections tells clients to close their connections after each
// response once the gate is closed, so that no request meets a server that is
// gone.
func CloseConnections(gate *Gate, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gate.Closed() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
