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
	floodTimeout = 20 * time.Second
	floodConns   = 256
)

// flood is a closed loop of callers whose tasks have no length.
type flood struct {
	client  *http.Client
	entries []string
	url     string
	kind    string
	tasks   int
	run     string
	body    []byte

	next   atomic.Int64
	done   atomic.Int64
	failed atomic.Int64
}

func newFlood(entries []string, service, kind, run string, tasks int) *flood {
	one := `{"payload":{"runMillis":0}}`
	list := strings.TrimSuffix(strings.Repeat(one+",", tasks), ",")
	return &flood{
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: floodConns}, Timeout: floodTimeout},
		entries: entries,
		url:     "/v1/services/" + service + "/jobs",
		kind:    kind,
		tasks:   tasks,
		run:     run,
		body:    fmt.Appendf(nil, `{"kind":%q,"tasks":[%s]}`, kind, list),
	}
}

// runFor keeps callers busy for d, or until jobs were sent, if that is not 0.
func (f *flood) runFor(ctx context.Context, callers, jobs int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	defer f.client.CloseIdleConnections()
	var all sync.WaitGroup
	for range callers {
		all.Go(func() { f.loop(ctx, jobs) })
	}
	all.Wait()
}

func (f *flood) loop(ctx context.Context, jobs int) {
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

// send sends one job and tells whether it was completed. It is not cut short
// at the end, so that no job is left half done.
func (f *flood) send(n int) bool {
	url := "http://" + f.entries[n%len(f.entries)] + f.url
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(f.body))
	if err != nil {
		return false
	}
	r.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", f.run, n))
	response, err := f.client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}
