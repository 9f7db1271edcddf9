package metric

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPageShowsCountersAndDurations(t *testing.T) {
	is := is.New(t)
	r := New("entry")
	refusals := NewReasonCounters(r.Scope(), "job_refusals")
	refusals.Inc("queueFull")
	refusals.Inc("queueFull")
	refusals.Inc("late")
	NewDurationHistogram(r.Scope(), "received_to_started").RecordDuration(3 * time.Millisecond)
	r.Close() // flushes the counters
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	page, err := io.ReadAll(w.Body)
	is.NoErr(err)
	for _, want := range []string{
		`skylarklane_entry_job_refusals{reason="queueFull"} 2`,
		`skylarklane_entry_job_refusals{reason="late"} 1`,
		`skylarklane_entry_received_to_started_bucket{le="0.002"} 0`,
		`skylarklane_entry_received_to_started_bucket{le="0.004"} 1`,
		`skylarklane_entry_received_to_started_bucket{le="8.192"} 1`,
	} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the metrics page does not contain %s", want)
		}
	}
}
