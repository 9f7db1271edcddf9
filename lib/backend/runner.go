package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"skylarklane.example/lib/wire"
)

// Runner sends tasks to backend servers.
type Runner struct {
	client *http.Client
}

// NewRunner returns a runner over client.
func NewRunner(client *http.Client) *Runner {
	return &Runner{client: client}
}

// Run sends one task to url, at most once, and waits for its result.
func (n *Runner) Run(ctx context.Context, url string, q *wire.StartRequest) *wire.StartReply {
	begin := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(q.GetPayload()))
	if err != nil {
		return failed("badUrl")
	}
	// Without GetBody the transport cannot send a request twice.
	request.GetBody = nil
	request.Header.Set("Skylarklane-Job", q.GetJob())
	request.Header.Set("Skylarklane-Task", strconv.Itoa(int(q.GetTask())))
	response, err := n.client.Do(request)
	if err != nil {
		return failed("connectionLost")
	}
	defer response.Body.Close()
	result, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode/100 != 2 {
		return failed("taskFailed")
	}
	return &wire.StartReply{
		State:     wire.TaskState_TASK_STATE_DONE,
		Result:    result,
		RunMicros: time.Since(begin).Microseconds(),
	}
}

func failed(reason string) *wire.StartReply {
	return &wire.StartReply{State: wire.TaskState_TASK_STATE_FAILED, Reason: reason}
}
