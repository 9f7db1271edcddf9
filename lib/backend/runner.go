package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"skylarklane.example/lib/wire"
)

// MaxResultBytes limits the result of one task.
const MaxResultBytes = 1 << 20

// Headers of the requests sent to backend servers.
const (
	headerJob      = "Skylarklane-Job"
	headerTask     = "Skylarklane-Task"
	headerDeadline = "Skylarklane-Deadline"
)

// Runner sends tasks to backend servers.
type Runner struct {
	client *http.Client
}

// NewRunner returns a runner that uses client, which must come from NewClient.
func NewRunner(client *http.Client) *Runner {
	return &Runner{client: client}
}

// Run sends a task to url at most once and waits for its result. The reply has
// the state "not started" only if no byte of the request was sent.
func (r *Runner) Run(ctx context.Context, url string, q *wire.StartRequest) *wire.StartReply {
	begin := time.Now()
	tracker := &sendTracker{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, tracker.trace()), url, q, begin)
	if err != nil {
		return notStarted("badUrl")
	}
	response, err := r.client.Do(request)
	if err != nil {
		return noResponse(ctx, tracker.sent())
	}
	defer response.Body.Close()
	reply := readReply(ctx, response)
	reply.RunMicros = time.Since(begin).Microseconds()
	return reply
}

func newRequest(ctx context.Context, url string, q *wire.StartRequest, now time.Time) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(q.GetPayload()))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport can't send the body a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(headerJob, q.GetJob())
	request.Header.Set(headerTask, strconv.Itoa(int(q.GetTask())))
	if millis := q.GetDeadlineMillis(); millis > 0 {
		deadline := now.Add(time.Duration(millis) * time.Millisecond)
		request.Header.Set(headerDeadline, deadline.UTC().Format(time.RFC3339Nano))
	}
	return request, nil
}

// noResponse returns the reply for a request that got no response.
func noResponse(ctx context.Context, sent bool) *wire.StartReply {
	switch {
	case !sent && ctx.Err() != nil:
		return notStarted("cancelled")
	case !sent:
		return notStarted("backendServerUnreachable")
	case ctx.Err() != nil:
		return failed("cancelled")
	default:
		return failed("connectionLost")
	}
}

func readReply(ctx context.Context, response *http.Response) *wire.StartReply {
	result, err := io.ReadAll(io.LimitReader(response.Body, MaxResultBytes+1))
	switch {
	case err != nil:
		return noResponse(ctx, true)
	case len(result) > MaxResultBytes:
		return failed("resultTooLarge")
	case response.StatusCode/100 != 2:
		return failed("taskFailed")
	}
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_DONE, Result: result}
}

// sendTracker tracks whether any byte of one request was written to its
// connection.
type sendTracker struct {
	conn *countingConn
	// writtenBefore is the number of bytes written to conn before the request, or
	// -1 if they are not counted.
	writtenBefore int64
}

func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn}
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.conn, _ = info.Conn.(*countingConn)
	if s.conn != nil {
		s.writtenBefore = s.conn.written.Load()
		return
	}
	// The bytes written to other connections, such as those under TLS, are not
	// counted. Their requests are assumed to have been sent.
	s.conn, s.writtenBefore = &countingConn{}, -1
}

// sent reports whether any byte of the request may have been sent.
func (s *sendTracker) sent() bool {
	return s.conn != nil && s.conn.written.Load() != s.writtenBefore
}

func notStarted(reason string) *wire.StartReply {
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: reason}
}

func failed(reason string) *wire.StartReply {
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_FAILED, Reason: reason}
}
