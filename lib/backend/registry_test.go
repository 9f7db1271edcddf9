package backend

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// fakeSlots is a Slots that records the open slots.
type fakeSlots struct {
	mu   sync.Mutex
	open map[string]int
}

func (s *fakeSlots) Open(server, _ string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.open[server]; !ok {
		s.open[server] = n
	}
}

func (s *fakeSlots) Close(server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, server)
}

func (s *fakeSlots) count(server string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[server]
}

func newRegistry() (*Registry, *fakeSlots) {
	slots := &fakeSlots{open: map[string]int{}}
	return New(slots, tally.NoopScope, slog.New(slog.NewTextHandler(io.Discard, nil))), slots
}

func call(reg *Registry, method, id, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	reg.Handler().ServeHTTP(w, httptest.NewRequest(method, "/v1/backendServers/"+id, strings.NewReader(body)))
	return w
}

const validBody = `{"service":"sizing","url":"http://127.0.0.1:9000/run","slots":8}`

func TestAnnouncementFields(t *testing.T) {
	tests := []struct{ name, id, body, field string }{
		{"no body", "b1", "", "body"},
		{"not JSON", "b1", "slots: 8", "body"},
		{"bad id", "-b1", validBody, "id"},
		{"no service", "b1", `{"url":"http://127.0.0.1:9000","slots":8}`, "service"},
		{"no url", "b1", `{"service":"s","slots":8}`, "url"},
		{"other scheme", "b1", `{"service":"s","url":"ftp://127.0.0.1","slots":8}`, "url"},
		{"host name", "b1", `{"service":"s","url":"http://localhost:1","slots":8}`, "url"},
		{"port 0", "b1", `{"service":"s","url":"http://127.0.0.1:0/run","slots":8}`, "url"},
		{"port 65536", "b1", `{"service":"s","url":"http://127.0.0.1:65536/run","slots":8}`, "url"},
		{"port 99999", "b1", `{"service":"s","url":"https://[::1]:99999","slots":8}`, "url"},
		{"nested", "b1", strings.Repeat("[", 60_000), "body"},
		{"too long", "b1", `{"service":"` + strings.Repeat("s", 100_000) + `"}`, "body"},
		{"slots of 1e400", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":1e400}`, "slots"},
		{"slots of 1e19", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":10000000000000000000}`, "slots"},
		{"slots of 10,000 digits", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":` + strings.Repeat("9", 10_000) + `}`, "slots"},
		{"trailing bytes", "b1", validBody + "}", "body"},
		{"trailing document", "b1", validBody + validBody, "body"},
		{"no slots", "b1", `{"service":"s","url":"http://127.0.0.1:1"}`, "slots"},
		{"too many slots", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":1025}`, "slots"},
		{"slots as a string", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":"8"}`, "slots"},
		{"slots null", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":null}`, "slots"},
		{"leaving null", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":1,"leaving":null}`, "leaving"},
		{"repeated slots", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":1,"slots":2}`, "body"},
		{"slots in another case", "b1", `{"service":"s","url":"http://127.0.0.1:1","Slots":1}`, "Slots"},
		{"unknown field", "b1", `{"service":"s","url":"http://127.0.0.1:1","slots":8,"slot":1}`, "slot"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reg, slots := newRegistry()
			w := call(reg, http.MethodPut, test.id, test.body)
			is.Equal(w.Code, http.StatusBadRequest)
			is.True(strings.Contains(w.Body.String(), `"field":"`+test.field+`"`))
			is.Equal(slots.count(test.id), 0)
			is.True(w.Body.Len() < 1024)
		})
	}
}

// TestOddAnnouncementKeepsServer guards against an announcement that can't be
// used and takes the slots of a registered server.
func TestOddAnnouncementKeepsServer(t *testing.T) {
	is := is.New(t)
	reg, slots := newRegistry()
	call(reg, http.MethodPut, "b1", validBody)
	call(reg, http.MethodPut, "b1", `{"service":"sizing","url":"http://127.0.0.1:99999/run","slots":8}`)
	is.Equal(slots.count("b1"), 8)
	is.Equal(reg.URL("b1"), "http://127.0.0.1:9000/run")
}

func TestLeavingServerGetsNoSlots(t *testing.T) {
	tests := []struct {
		name  string
		leave func(reg *Registry)
	}{
		{"announced", func(reg *Registry) {
			call(reg, http.MethodPut, "b1", `{"service":"sizing","url":"http://127.0.0.1:9000/run","slots":8,"leaving":true}`)
		}},
		{"deleted", func(reg *Registry) { call(reg, http.MethodDelete, "b1", "") }},
		{"agent is leaving", (*Registry).Leave},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			reg, slots := newRegistry()
			call(reg, http.MethodPut, "b1", validBody)
			is.Equal(slots.count("b1"), 8)
			test.leave(reg)
			is.Equal(slots.count("b1"), 0)
		})
	}
}

func TestLeavingAgentRejectsServers(t *testing.T) {
	is := is.New(t)
	reg, slots := newRegistry()
	reg.Leave()
	is.Equal(call(reg, http.MethodPut, "b1", validBody).Code, http.StatusServiceUnavailable)
	is.Equal(slots.count("b1"), 0)
}

func TestChangedSlots(t *testing.T) {
	is := is.New(t)
	reg, slots := newRegistry()
	call(reg, http.MethodPut, "b1", validBody)
	call(reg, http.MethodPut, "b1", strings.Replace(validBody, "8}", "3}", 1))
	is.Equal(slots.count("b1"), 3)
}

func TestSilentServerIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reg, slots := newRegistry()
		ctx, cancel := context.WithCancel(t.Context())
		go reg.Run(ctx)
		call(reg, http.MethodPut, "b1", validBody)
		time.Sleep(SilenceTimeout - time.Second)
		call(reg, http.MethodPut, "b1", validBody)
		time.Sleep(SilenceTimeout - time.Second)
		is.Equal(slots.count("b1"), 8) // announced in time
		time.Sleep(2 * time.Second)
		is.Equal(slots.count("b1"), 0)
		call(reg, http.MethodPut, "b1", validBody)
		is.Equal(slots.count("b1"), 8) // a later announcement registers it again
		cancel()
		synctest.Wait()
	})
}
