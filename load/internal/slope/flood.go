package slope

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	floodTimeout   = 20 * time.Second
	floodIdleConns = 256
)

// flood sends jobs whose tasks have run time 0 from callers that each wait for
// an answer before they send the next job.
type flood struct {
	client    *http.Client
	entries   []string
	url       string
	kind      string
	tasks     int
	keyPrefix string
	body      []byte

	next   atomic.Int64
	done   atomic.Int64
	failed atomic.Int64
}

func newFlood(entries []string, service, kind, keyPrefix string, tasks int) *flood {
	task := `{"payload":{"runMillis":0}}`
	taskList := strings.TrimSuffix(strings.Repeat(task+",", tasks), ",")
	return &flood{
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: floodIdleConns}, Timeout: floodTimeout},
		entries:   entries,
		url:       "/v1/services/" + service + "/jobs",
		kind:      kind,
		tasks:     tasks,
		keyPrefix: keyPrefix,
		body:      fmt.Appendf(nil, `{"kind":%q,"tasks":[%s]}`, kind, taskList),
	}
}

// runFor lets callers send jobs for d, or until the given number of jobs was
// sent, if that is not 0.
func (f *flood) runFor(ctx context.Context, callers, jobs int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	defer f.client.CloseIdleConnections()
	var running sync.WaitGroup
	for range callers {
		running.Go(func() { f.sendJobs(ctx, jobs) })
	}
	running.Wait()
}

func (f *flood) sendJobs(ctx context.Context, jobs int) {
	for ctx.Err() == nil {
		n := f.next.Add(1)
		if jobs > 0 && int(n) > jobs {
			return
		}
		if f.send(int(n)) {
			f.done.Add(1)
		} else {
			f.failed.Add(1)
		}
	}
}

// send sends one job and reports whether it was completed. It takes no context:
// at the end of the run, jobs that were sent are still completed.
func (f *flood) send(n int) bool {
	url := "http://" + f.entries[n%len(f.entries)] + f.url
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(f.body))
	if err != nil {
		return false
	}
	request.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", f.keyPrefix, n))
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
