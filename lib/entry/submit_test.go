package entry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

func TestParseSubmission(t *testing.T) {
	const good = `{"kind":"finCheck","tasks":[{"payload":1}]}`
	cases := []struct {
		name, key, header, value, body string
		field                          string
	}{
		{"good", "k", "Team", "suva", good, "none"},
		{"no key", "", "", "", good, "Idempotency-Key"},
		{"long key", strings.Repeat("k", 129), "", "", good, "Idempotency-Key"},
		{"key not printable", "a\tb", "", "", good, "Idempotency-Key"},
		{"bad time", "k", "Submitted-At", "yesterday", good, "Submitted-At"},
		{"long team", "k", "Team", strings.Repeat("t", 129), good, "Team"},
		{"no kind", "k", "", "", `{"tasks":[{"payload":1}]}`, "kind"},
		{"no tasks", "k", "", "", `{"kind":"finCheck","tasks":[]}`, "tasks"},
		{"no payload", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":1},{}]}`, "tasks[1].payload"},
		{"wrong type", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":1}],"deadlineMillis":"soon"}`, "deadlineMillis"},
		{"negative deadline", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":1}],"deadlineMillis":-1}`, "deadlineMillis"},
		{"unknown field", "k", "", "", `{"kind":"finCheck","task":[]}`, "task"},
		{"no JSON", "k", "", "", `{`, ""},
		{"two objects", "k", "", "", good + good, ""},
		{"repeated tasks", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":1}],"tasks":[{"payload":2}]}`, "tasks"},
		{"repeated payload", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":1,"payload":2}]}`, "tasks[0].payload"},
		{"deadline null", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":1}],"deadlineMillis":null}`, "deadlineMillis"},
		{"task null", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":1},null]}`, "tasks[1]"},
		{"kind in another case", "k", "", "", `{"Kind":"finCheck","tasks":[{"payload":1}]}`, "Kind"},
		{"kind of unreadable bytes", "k", "", "", "{\"kind\":\"finCheck\xff\",\"tasks\":[{\"payload\":1}]}", ""},
		{"payload null", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":null}]}`, "none"},
		{"names repeated in a payload", "k", "", "", `{"kind":"finCheck","tasks":[{"payload":{"a":1,"a":2}}]}`, "none"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest("POST", "/v1/services/sizing/jobs", nil)
			r.Header.Set("Idempotency-Key", c.key)
			if c.header != "" {
				r.Header.Set(c.header, c.value)
			}
			s, refused := parseSubmission(r, []byte(c.body))
			if c.field == "none" {
				is.True(refused == nil)
				is.Equal(s.spec.GetKind(), "finCheck")
				return
			}
			is.True(s == nil)
			is.Equal(refused.status, 400)
			is.Equal(refused.field, c.field)
		})
	}
}

func TestAdmit(t *testing.T) {
	slow := placement.Average{Log: 0, N: 1000} // one second
	cases := []struct {
		name    string
		prepare func(d *dispatcher, spec *wire.JobSpec)
		after   time.Duration
		reason  string
	}{
		{"free", func(*dispatcher, *wire.JobSpec) {}, 0, ""},
		{"leaving", func(d *dispatcher, _ *wire.JobSpec) { d.stopAcceptingTokens() }, 0, "entryLeaving"},
		{"full queue", func(d *dispatcher, _ *wire.JobSpec) { d.serviceState("sizing").queue.tasks = 99 }, 0, "queueFull"},
		{"late", func(d *dispatcher, spec *wire.JobSpec) {
			d.serviceState("sizing").kind("finCheck", time.Second).runTime = slow
			spec.DeadlineMillis = 500
		}, 0, "deadlineUnreachable"},
		{"declared late", func(d *dispatcher, spec *wire.JobSpec) {
			d.serviceState("sizing").kind("finCheck", time.Hour)
			spec.DeadlineMillis = 500
		}, 0, ""},
		{"queue too long", func(d *dispatcher, spec *wire.JobSpec) {
			d.serviceState("sizing").kind("finCheck", time.Second).runTime = slow
			d.serviceState("sizing").kind("finCheck", time.Second).waiting[wire.Urgency_URGENCY_URGENT] = 60
			spec.DeadlineMillis = 3000
		}, 0, "deadlineUnreachable"},
		{"declared queue too long", func(d *dispatcher, spec *wire.JobSpec) {
			d.serviceState("sizing").kind("finCheck", time.Second).runTime = slow
			d.serviceState("sizing").kind("report", time.Hour).waiting[wire.Urgency_URGENCY_URGENT] = 60
			spec.DeadlineMillis = 3000
		}, 0, ""},
		{"less urgent work ahead", func(d *dispatcher, spec *wire.JobSpec) {
			d.serviceState("sizing").kind("finCheck", time.Second).runTime = slow
			d.serviceState("sizing").kind("finCheck", time.Second).waiting[wire.Urgency_URGENCY_BATCH] = 60
			spec.DeadlineMillis = 3000
		}, 0, ""},
		{"unknown service, just started", func(_ *dispatcher, spec *wire.JobSpec) { spec.Service = "other" }, 0, ""},
		{"unknown service", func(_ *dispatcher, spec *wire.JobSpec) { spec.Service = "other" }, noBackendServerGrace, "noBackendServer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, m := newTestDispatcher(t, startFakeAgent(t, "worker1", 4, succeed))
			spec := jobOf("job", "finCheck", 2).Spec
			c.prepare(d, spec)
			r := d.admit(spec, findKind(m.Directory(), "sizing", "finCheck"), 100, time.Now().Add(c.after))
			if c.reason == "" {
				is.True(r == nil)
				return
			}
			is.Equal(r.reason, c.reason)
		})
	}
}
