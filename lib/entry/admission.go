package entry

import (
	"fmt"
	"net/http"
	"time"

	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// absentTime is how long no worker may have a slot for a service until
	// its jobs are refused.
	absentTime = 5 * time.Second
	// learnedRuns is how many runs of a kind make its run time known.
	learnedRuns = 20
	// shortRetry is the Retry-After of refusals that pass soon.
	shortRetry = time.Second
	// maxDeadline bounds the deadline of a job.
	maxDeadline = 24 * time.Hour
)

// refusal says why a submission does not run.
type refusal struct {
	// status of the HTTP answer.
	status int
	// reason is a camelCase word, counted for each refusal.
	reason string
	detail string
	// field of the submission that is at fault; empty where none is.
	field string
	// retryAfter is when another try may help; 0 where none does.
	retryAfter time.Duration
}

// admit tells why a submission must not run now; nil where it may. It neither
// asks the ledger nor changes anything but counters, so that a refusal is true
// only once the ledger says that the key isn't held.
func (e *Entry) admit(spec *wire.JobSpec) *refusal {
	r := e.judge(spec)
	if r != nil {
		e.count(r)
	}
	return r
}

func (e *Entry) judge(spec *wire.JobSpec) *refusal {
	if !e.follower.Current() {
		return &refusal{
			status: http.StatusServiceUnavailable, reason: "notCurrent", retryAfter: shortRetry,
			detail: "this entry has no lease from the control group",
		}
	}
	directory := e.follower.Directory()
	kind := kindIn(directory, spec.GetService(), spec.GetKind())
	if kind == nil {
		return unknownKind(directory, spec)
	}
	if r := e.tooLarge(spec, kind); r != nil {
		return r
	}
	return e.dispatcher.admit(spec, kind, int(e.limits.GetMaxQueuedTasks()), time.Now())
}

// count adds a refusal to the counter of its reason.
func (e *Entry) count(r *refusal) {
	e.metrics.Scope().Tagged(map[string]string{"reason": r.reason}).Counter("refusals").Inc(1)
}

func unknownKind(directory *wire.Directory, spec *wire.JobSpec) *refusal {
	for _, s := range directory.GetServices() {
		if s.GetName() == spec.GetService() {
			return badField("kind", "unknownKind", fmt.Sprintf("service %q has no kind %q", spec.GetService(), spec.GetKind()))
		}
	}
	return badField("service", "unknownService", fmt.Sprintf("no service is named %q", spec.GetService()))
}

func (e *Entry) tooLarge(spec *wire.JobSpec, kind *wire.Kind) *refusal {
	most := e.limits.GetMaxTasks()
	if kind.GetMaxTasks() > 0 {
		most = min(most, kind.GetMaxTasks())
	}
	if len(spec.GetPayloads()) <= int(most) {
		return nil
	}
	return badField("tasks", "tooManyTasks", fmt.Sprintf("a job of kind %q has at most %d tasks", kind.GetName(), most))
}

// badField refuses a submission for one of its fields.
func badField(field, reason, detail string) *refusal {
	return &refusal{status: http.StatusBadRequest, reason: reason, field: field, detail: detail}
}

// admit tells whether the workers can do a job in time.
func (d *dispatcher) admit(spec *wire.JobSpec, kind *wire.Kind, maxQueued int, now time.Time) *refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	if d.leaving {
		return leavingRefusal()
	}
	k := d.desks[spec.GetService()]
	if r := d.absent(k, spec.GetService(), now); r != nil {
		return r
	}
	if k == nil {
		return nil
	}
	if k.queue.tasks+len(spec.GetPayloads()) > maxQueued {
		return &refusal{
			status: http.StatusTooManyRequests, reason: "queueFull", retryAfter: shortRetry,
			detail: fmt.Sprintf("%d tasks wait already", k.queue.tasks),
		}
	}
	return d.late(k, spec, kind, now)
}

// absent refuses a job whose service no backend server has offered for a
// while. An entry that has just started waits to hear of them.
func (d *dispatcher) absent(k *desk, service string, now time.Time) *refusal {
	since := d.startedAt
	if k != nil {
		since = k.emptySince
	}
	if since.IsZero() || now.Sub(since) < absentTime {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "noBackendServer", retryAfter: absentTime,
		detail: fmt.Sprintf("no backend server has announced itself for service %q", service),
	}
}

// late refuses a job that is not expected to be done by its deadline. It goes
// by learned run times only, never by declared ones.
func (d *dispatcher) late(k *desk, spec *wire.JobSpec, kind *wire.Kind, now time.Time) *refusal {
	known := k.kinds[spec.GetKind()]
	if known == nil || !known.learned() {
		return nil
	}
	total, longest := time.Duration(0), time.Duration(0)
	for _, payload := range spec.GetPayloads() {
		run := known.expected(sizeClass(payload))
		total += run
		longest = max(longest, run)
	}
	slots := max(k.pool.held, k.slots/(len(d.fleet.peers)+1))
	finish := placement.Finish(k.load(kind.GetUrgency(), slots, now), total, longest)
	left := deadlineOf(Job{Spec: spec}, kind, now).Sub(now)
	if finish <= left {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "deadlineUnreachable", retryAfter: max(finish-left, shortRetry),
		detail: fmt.Sprintf("the job is expected to take %d ms and has %d ms", finish.Milliseconds(), left.Milliseconds()),
	}
}
