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

// CloseConnections returns a handler that, once the gate is closed, asks HTTP/1
// clients to close their connection after each response, so that no request is
// sent on a connection to a stopped server.
func CloseConnections(gate *Gate, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if gate.Closed() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
