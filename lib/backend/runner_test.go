package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// disconnectingServer answers the first request of each connection and closes
// the connection after reading the second. It counts all requests.
type disconnectingServer struct {
	listener net.Listener
	starts   atomic.Int64
}

func newDisconnectingServer(t *testing.T) *disconnectingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &disconnectingServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run()
	return s
}

func (s *disconnectingServer) url() string { return "http://" + s.listener.Addr().String() + "/run" }

func (s *disconnectingServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *disconnectingServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := range 2 {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.starts.Add(1)
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1")
		}
	}
}

// TestNoReplay checks that a request whose connection is closed after it was
// read is not sent again: the task starts once and fails.
func TestNoReplay(t *testing.T) {
	for _, payload := range []string{`{"value":1}`, ""} {
		t.Run(payload, func(t *testing.T) {
			is := is.New(t)
			s := newDisconnectingServer(t)
			runner := NewRunner(NewClient())
			q := &wire.StartRequest{Job: "job", Task: 1, Payload: []byte(payload)}
			is.Equal(runner.Run(t.Context(), s.url(), q).GetState(), wire.TaskState_TASK_STATE_DONE)
			reply := runner.Run(t.Context(), s.url(), q)
			is.Equal(reply.GetState(), wire.TaskState_TASK_STATE_FAILED)
			is.Equal(reply.GetReason(), "connectionLost")
			is.Equal(s.starts.Load(), int64(2)) // one for each run
		})
	}
}

// TestReplayWithIdempotencyKey shows why requests have neither GetBody nor an
// Idempotency-Key: with both, net/http sends the request again when its
// connection is closed.
func TestReplayWithIdempotencyKey(t *testing.T) {
	is := is.New(t)
	s := newDisconnectingServer(t)
	client := NewClient()
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url(), bytes.NewReader([]byte("1")))
		is.NoErr(err)
		request.Header.Set("Idempotency-Key", "key")
		response, err := client.Do(request)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		is.NoErr(response.Body.Close())
	}
	is.Equal(s.starts.Load(), int64(3)) // the second request arrived twice
}

// TestRedirect checks that a redirect does not start the task a second time.
func TestRedirect(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusTemporaryRedirect, http.StatusPermanentRedirect} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			var starts atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				starts.Add(1)
				w.Header().Set("Location", "/other")
				w.WriteHeader(status)
			}))
			defer s.Close()
			reply := NewRunner(NewClient()).Run(t.Context(), s.URL, &wire.StartRequest{})
			is.Equal(reply.GetReason(), "taskFailed")
			is.Equal(starts.Load(), int64(1))
		})
	}
}

func TestUnreachableIsNotStarted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	reply := NewRunner(NewClient()).Run(t.Context(), "http://"+address, &wire.StartRequest{})
	is.Equal(reply.GetState(), wire.TaskState_TASK_STATE_NOT_STARTED)
	is.Equal(reply.GetReason(), "backendServerUnreachable")
}

func TestReplies(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		state  wire.TaskState
		reason string
	}{
		{"result", 200, `"x"`, wire.TaskState_TASK_STATE_DONE, ""},
		{"created", 201, `"x"`, wire.TaskState_TASK_STATE_DONE, ""},
		{"error", 500, "broken", wire.TaskState_TASK_STATE_FAILED, "taskFailed"},
		{"largest", 200, strings.Repeat("x", MaxResultBytes), wire.TaskState_TASK_STATE_DONE, ""},
		{"too large", 200, strings.Repeat("x", MaxResultBytes+1), wire.TaskState_TASK_STATE_FAILED, "resultTooLarge"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			header := make(chan http.Header, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				header <- r.Header
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer s.Close()
			reply := NewRunner(NewClient()).Run(t.Context(), s.URL, &wire.StartRequest{Job: "j", Task: 7, DeadlineMillis: 1000})
			is.Equal(reply.GetState(), test.state)
			is.Equal(reply.GetReason(), test.reason)
			got := <-header
			is.Equal(got.Get("Skylarklane-Job"), "j")
			is.Equal(got.Get("Skylarklane-Task"), "7")
			is.True(got.Get("Skylarklane-Deadline") != "")
		})
	}
}

func TestCancelWhileRunning(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	defer s.Close()
	reply := NewRunner(NewClient()).Run(ctx, s.URL, &wire.StartRequest{})
	is.Equal(reply.GetState(), wire.TaskState_TASK_STATE_FAILED)
	is.Equal(reply.GetReason(), "cancelled")
}
