package process

import "net/http"

// CloseConnections returns a handler that, while closing reports true, asks
// clients to close their connection after each response, so that no request is
// sent on a connection to a stopped server.
func CloseConnections(closing func() bool, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		closer := &closingWriter{ResponseWriter: w, closing: closing}
		defer closer.begin()
		h.ServeHTTP(closer, r)
	})
}

// closingWriter decides when the response begins, as the server may have started
// to close while it handled the request.
type closingWriter struct {
	http.ResponseWriter
	closing func() bool
	begun   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *closingWriter) Flush() {
	w.begin()
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) begin() {
	if !w.begun && w.closing() {
		w.Header().Set("Connection", "close")
	}
	w.begun = true
}
