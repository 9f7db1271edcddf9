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

// MaxResultBytes bounds the result of one task.
const MaxResultBytes = 1 << 20

// The headers that a task reaches its backend server with.
const (
	headerJob      = "Skylarklane-Job"
	headerTask     = "Skylarklane-Task"
	headerDeadline = "Skylarklane-Deadline"
)

// Runner sends tasks to backend servers.
type Runner struct {
	client *http.Client
}

// NewRunner returns a runner over client, which NewClient made.
func NewRunner(client *http.Client) *Runner {
	return &Runner{client: client}
}

// Run sends one task to url, at most once, and waits for its result. The reply
// is not started only where no byte of the request went out.
func (n *Runner) Run(ctx context.Context, url string, q *wire.StartRequest) *wire.StartReply {
	begin := time.Now()
	sent := &sendWatch{}
	request, err := newRequest(httptrace.WithClientTrace(ctx, sent.trace()), url, q, begin)
	if err != nil {
		return notStarted("badUrl")
	}
	response, err := n.client.Do(request)
	if err != nil {
		return lost(ctx, sent.began())
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
	// Without GetBody the transport cannot send a body twice.
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

// lost answers for a request that got no response.
func lost(ctx context.Context, sent bool) *wire.StartReply {
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
		return lost(ctx, true)
	case len(result) > MaxResultBytes:
		return failed("resultTooLarge")
	case response.StatusCode/100 != 2:
		return failed("taskFailed")
	}
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_DONE, Result: result}
}

// sendWatch sees whether any byte of one request went out.
type sendWatch struct {
	conn   *countingConn
	before int64
}

func (s *sendWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: s.gotConn}
}

func (s *sendWatch) gotConn(info httptrace.GotConnInfo) {
	s.conn, _ = info.Conn.(*countingConn)
	if s.conn != nil {
		s.before = s.conn.written.Load()
		return
	}
	// A connection that is not counted, such as one under TLS, may have sent.
	s.conn, s.before = &countingConn{}, -1
}

func (s *sendWatch) began() bool {
	return s.conn != nil && s.conn.written.Load() != s.before
}

func notStarted(reason string) *wire.StartReply {
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_NOT_STARTED, Reason: reason}
}

func failed(reason string) *wire.StartReply {
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_FAILED, Reason: reason}
}
