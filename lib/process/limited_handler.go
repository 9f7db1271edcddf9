package process

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	"skylarklane.example/lib/wire"
)

// limitedListener accepts connections under the limits of a process.
type limitedListener struct {
	net.Listener
	limiter *Limiter
	// address is nil if the limits of the address are those of the process.
	address *AddressLimits
	// ending is closed when the server ends the requests in flight.
	ending <-chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.accept(inner, l.address); c != nil {
			c.ending = l.ending
			return c.served(), nil
		}
	}
}

// connectionOf returns the connection of a request, or nil if it has no limits.
func connectionOf(ctx context.Context) *limitedConn {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	return toLimited(c)
}

// toLimited returns the limitedConn that net/http serves, or nil if it is another
// connection.
func toLimited(c net.Conn) *limitedConn {
	switch c := c.(type) {
	case *limitedConn:
		return c
	case secureConn:
		return c.limitedConn
	}
	return nil
}

// handler returns a handler that keeps the accounts of the requests to h. A request
// whose body did not fit into memory is answered with 503.
func (l *Limiter) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		if !c.start(r) {
			return
		}
		defer c.handled()
		if r.ProtoMajor != 1 {
			w.Header().Set("Connection", "close")
			http.Error(w, "only HTTP/1.1 is served", http.StatusHTTPVersionNotSupported)
			return
		}
		if r.ContentLength < 0 {
			r.Body = &chunkedBody{ReadCloser: r.Body, conn: c}
		}
		w = &refusingWriter{ResponseWriter: w, conn: c}
		if isCall(r) && !reserveForCall(c, r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// bodyCopies is the memory for each byte of a call's body that twirp reads again.
const bodyCopies = 3

// isCall reports whether a request is a call between processes, or of an operator's
// command.
func isCall(r *http.Request) bool {
	return r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, internalPrefix)
}

// reserveForCall reads the body of a call, which takes many times its bytes once it is
// decoded, and charges for that. It returns false if there is no memory.
func reserveForCall(c *limitedConn, r *http.Request) bool {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(b), failingReader{err}))
		return true // the handler meets the error
	}
	mediaType, _, _ := strings.Cut(r.Header.Get("Content-Type"), ";")
	c.jsonCall = strings.ToLower(strings.TrimSpace(mediaType)) == "application/json" // as twirp decides
	if !c.reserve(wire.DecodingMemory(r.URL.Path, c.jsonCall, b) + bodyCopies*int64(len(b))) {
		c.setRefused()
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	return true
}

// failingReader returns an error in place of the rest of a body.
type failingReader struct{ err error }

// Read implements io.Reader.
func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// chunkedBody is the body of a request without a length. It notices the end.
type chunkedBody struct {
	io.ReadCloser
	conn *limitedConn
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.bodyEnded() {
		err = errClosed
	}
	return n, err
}

// refusingWriter answers with 503 in place of a handler that could not read its
// request's body for lack of memory.
type refusingWriter struct {
	http.ResponseWriter
	conn           *limitedConn
	begun, refused bool
}

// WriteHeader implements http.ResponseWriter.
func (w *refusingWriter) WriteHeader(status int) {
	if w.begun {
		return
	}
	if status >= http.StatusOK {
		w.begun = true
		w.refused = w.conn.isRefused()
	}
	if !w.refused {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	header := w.Header()
	clear(header)
	header.Set("Content-Type", "application/json")
	header.Set("Retry-After", "1")
	header.Set("Connection", "close")
	w.ResponseWriter.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w.ResponseWriter, `{"error":"Service Unavailable","reason":"`+ReasonOverload+`"}`)
}

// Write implements http.ResponseWriter.
func (w *refusingWriter) Write(b []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.refused {
		return len(b), nil
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *refusingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// ReasonOverload is the reason of an answer to a request for which the process has no
// memory.
const ReasonOverload = "overload"

// Reserve charges n bytes, besides the head and body, to a request until it is
// answered. If it returns false, the process has no memory for the request, which must
// be refused.
func Reserve(r *http.Request, n int64) bool {
	c := connectionOf(r.Context())
	return c == nil || c.reserve(n)
}
