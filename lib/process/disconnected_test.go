package process

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIsDisconnected guards against work that is started for a request whose
// connection was gone before the request was read (review/6).
func TestIsDisconnected(t *testing.T) {
	tests := []struct {
		name  string
		leave func(c *net.TCPConn)
		want  bool
	}{
		{"open", func(*net.TCPConn) {}, false},
		{"next request sent", func(c *net.TCPConn) { fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n") }, false},
		{"closed", func(c *net.TCPConn) { c.Close() }, true},
		{"reset", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			arrived, left, seen := make(chan bool), make(chan bool), make(chan bool, 2)
			listener, err := Listen("127.0.0.1:0")
			is.NoErr(err)
			s := New(listener, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				arrived <- true
				<-left
				_, _ = io.Copy(io.Discard, r.Body)
				seen <- IsDisconnected(r)
			}), slog.New(slog.DiscardHandler))
			defer s.Close()
			c, err := net.Dial("tcp", s.Address())
			is.NoErr(err)
			defer c.Close()
			fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
			<-arrived
			test.leave(c.(*net.TCPConn))
			time.Sleep(20 * time.Millisecond) // loopback
			left <- true
			is.Equal(<-seen, test.want)
			close(left)
			go func() {
				for range arrived {
				}
			}()
		})
	}
}
