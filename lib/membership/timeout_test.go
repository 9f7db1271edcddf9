package membership

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// deafHost is a control host, reached without a socket, that leaves one renewal
// without an answer.
type deafHost struct {
	server http.Handler
	// deaf is the number of the renewal that gets no answer.
	deaf  int32
	asked atomic.Int32
}

// RoundTrip implements http.RoundTripper.
func (h *deafHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if h.asked.Add(1) == h.deaf {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	h.server.ServeHTTP(w, r)
	return w.Result(), nil
}

// TestLeaseOutlivesOneLostRenewal has the only control host leave one renewal
// without an answer: the lease must not lapse by that.
func TestLeaseOutlivesOneLostRenewal(t *testing.T) {
	for _, lease := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second, 6 * time.Second} {
		t.Run(lease.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				control := &fakeControl{reply: &wire.RenewReply{LeaseMillis: lease.Milliseconds()}}
				host := &deafHost{server: wire.NewControlServer(control), deaf: 3}
				member := &wire.Member{Incarnation: NewIncarnation("worker1")}
				f := New(&http.Client{Transport: host}, []string{"control"}, member, slog.New(slog.NewTextHandler(io.Discard, nil)))
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go f.Run(ctx)
				synctest.Wait()
				for range 100 {
					is.True(f.Current())
					time.Sleep(lease / 20)
					synctest.Wait()
				}
				is.True(host.asked.Load() > host.deaf)
			})
		})
	}
}

func TestTimeoutLeavesTimeForAnother(t *testing.T) {
	tests := []struct{ lease, timeout time.Duration }{
		{0, hostTimeout},
		{100 * time.Millisecond, 25 * time.Millisecond},
		{time.Second, 325 * time.Millisecond},
		{2 * time.Second, hostTimeout},
		{6 * time.Second, hostTimeout},
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(timeoutWithin(test.lease), test.timeout)
	}
}
