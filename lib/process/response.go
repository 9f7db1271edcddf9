package process

import (
	"net/http"
	"sync/atomic"
)

// response is the response to one request. If the server is shutting down when
// the headers are sent, they ask the caller to close the connection.
type response struct {
	http.ResponseWriter
	closing *atomic.Bool
}

// Write implements http.ResponseWriter.
func (r *response) Write(b []byte) (int, error) {
	r.setClose()
	return r.ResponseWriter.Write(b)
}

// WriteHeader implements http.ResponseWriter.
func (r *response) WriteHeader(status int) {
	r.setClose()
	r.ResponseWriter.WriteHeader(status)
}

// Flush implements http.Flusher.
func (r *response) Flush() {
	r.setClose()
	_ = http.NewResponseController(r.ResponseWriter).Flush()
}

// Unwrap returns the writer for http.ResponseController.
func (r *response) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}

// setClose has no effect once the headers are sent.
func (r *response) setClose() {
	if r.closing.Load() {
		r.Header().Set("Connection", "close")
	}
}
