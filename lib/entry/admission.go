package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"skylarklane.example/lib/admission"
	"skylarklane.example/lib/placement"
	"skylarklane.example/lib/wire"
)

const (
	// noBackendServerGrace is how long a service must be without slots before
	// its jobs are refused.
	noBackendServerGrace = 5 * time.Second
	// minLearnedRuns is the number of runs after which the average run time of
	// a kind is relied on.
	minLearnedRuns = 20
	// maxDeadline is the longest deadline that a submission may ask for.
	maxDeadline = 24 * time.Hour
)

// refusal is the reason why a submission is not run.
type refusal struct {
	// status is the HTTP status code of the response.
	status int
	// reason is a camelCase identifier, also the tag of the refusals counter.
	reason string
	detail string
	// field names the invalid field of the submission, if any.
	field string
	// retryAfter is when a retry may succeed; 0 if it would not.
	retryAfter time.Duration
}

// admit returns why a submission must not run now, or nil if it may. It does
// not query the ledger: a refusal is final only after the ledger has confirmed
// that no entry holds the key.
func (e *Entry) admit(s *submission) *refusal {
	r := e.checkSubmission(s.spec)
	if r != nil {
		e.countRefusal(r)
		e.dispatcher.rememberRefused(s.key, r, time.Now())
	}
	return r
}

// checkSubmission is admit without the metrics.
func (e *Entry) checkSubmission(spec *wire.JobSpec) *refusal {
	if !e.follower.Current() {
		return &refusal{
			status: http.StatusServiceUnavailable, reason: "notCurrent", retryAfter: briefRetryAfter(),
			detail: "this entry has no valid lease from the control group",
		}
	}
	directory := e.follower.Directory()
	kind := findKind(directory, spec.GetService(), spec.GetKind())
	if kind == nil {
		return unknownKind(directory, spec)
	}
	if r := e.checkTaskCount(spec, kind); r != nil {
		return r
	}
	return e.dispatcher.admit(spec, kind, int(e.limits.GetMaxQueuedTasks()), time.Now())
}

// countRefusal increments the refusals counter for the reason of r.
func (e *Entry) countRefusal(r *refusal) {
	e.metrics.Scope().Tagged(map[string]string{"reason": r.reason}).Counter("refusals").Inc(1)
	if r.retryAfter > 0 {
		e.retryAfter.RecordDuration(r.retryAfter)
	}
}

// briefRetryAfter returns the delay after a refusal without a backlog.
func briefRetryAfter() time.Duration { return admission.Brief(rand.Float64()) }

// backlogRetryAfter returns the delay after a refusal because of work that takes
// this long.
func backlogRetryAfter(backlog time.Duration) time.Duration {
	return admission.Retry{Backlog: backlog}.After(rand.Float64())
}

// rememberRefused remembers a submission that may be sent again, so that its job
// starts before new ones.
func (d *dispatcher) rememberRefused(key string, r *refusal, now time.Time) {
	if r.retryAfter == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history.AddRefused(key, admission.Place{}, now.Sub(d.startedAt))
}

// takePlace returns the place in the queue of a job that has been accepted, and
// adds it to the budget of resubmissions.
func (d *dispatcher) takePlace(key string, now time.Time) admission.Place {
	place := d.history.TakePlace(key, now.Sub(d.startedAt))
	d.history.AddStart()
	if place.Turn != admission.TurnNew {
		d.scope.Tagged(map[string]string{"reason": place.Turn.String()}).Counter("returns").Inc(1)
	}
	return place
}

// unknownKind returns the refusal of a submission whose service or kind is not
// configured.
func unknownKind(directory *wire.Directory, spec *wire.JobSpec) *refusal {
	for _, s := range directory.GetServices() {
		if s.GetName() == spec.GetService() {
			return badField("kind", "unknownKind", fmt.Sprintf("service %q has no kind %q", spec.GetService(), spec.GetKind()))
		}
	}
	return badField("service", "unknownService", fmt.Sprintf("unknown service %q", spec.GetService()))
}

func (e *Entry) checkTaskCount(spec *wire.JobSpec, kind *wire.Kind) *refusal {
	maxTasks := e.limits.GetMaxTasks()
	if kind.GetMaxTasks() > 0 {
		maxTasks = min(maxTasks, kind.GetMaxTasks())
	}
	if len(spec.GetPayloads()) <= int(maxTasks) {
		return nil
	}
	return badField("tasks", "tooManyTasks", fmt.Sprintf("a job of kind %q may have at most %d tasks", kind.GetName(), maxTasks))
}

// badField returns the refusal of a submission with an invalid field.
func badField(field, reason, detail string) *refusal {
	return &refusal{status: http.StatusBadRequest, reason: reason, field: field, detail: detail}
}

// admit returns why the job cannot be run in time, or nil if it can.
func (d *dispatcher) admit(spec *wire.JobSpec, kind *wire.Kind, maxQueued int, now time.Time) *refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.syncDirectory()
	if d.leaving {
		return leavingRefusal()
	}
	svc := d.services[spec.GetService()]
	if r := d.checkBackendServers(svc, spec.GetService(), now); r != nil {
		return r
	}
	if svc == nil {
		return nil
	}
	if svc.queue.tasks+len(spec.GetPayloads()) > maxQueued {
		ahead := placement.EstimateFinish(svc.load(kind.GetUrgency(), d.share(svc), now), 0, 0)
		return &refusal{
			status: http.StatusTooManyRequests, reason: "queueFull", retryAfter: backlogRetryAfter(max(ahead, admission.BriefDelay)),
			detail: fmt.Sprintf("the queue is full: %d tasks are waiting", svc.queue.tasks),
		}
	}
	return d.checkDeadline(svc, spec, kind, now)
}

// checkBackendServers refuses a job whose service has had no slots for
// noBackendServerGrace. For a service that no agent has reported yet, the grace
// period starts when the entry starts, since agents need time to report their
// capacities.
func (d *dispatcher) checkBackendServers(svc *serviceState, service string, now time.Time) *refusal {
	since := d.startedAt
	if svc != nil {
		since = svc.noSlotsSince
	}
	if since.IsZero() || now.Sub(since) < noBackendServerGrace {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "noBackendServer", retryAfter: backlogRetryAfter(noBackendServerGrace),
		detail: fmt.Sprintf("no backend server is registered for service %q", service),
	}
}

// checkDeadline refuses a job that is not expected to complete by its deadline.
// It relies on learned run times only, never on declared ones.
func (d *dispatcher) checkDeadline(svc *serviceState, spec *wire.JobSpec, kind *wire.Kind, now time.Time) *refusal {
	state := svc.kinds[spec.GetKind()]
	if state == nil || !state.learned() {
		return nil
	}
	total, longest := time.Duration(0), time.Duration(0)
	for _, payload := range spec.GetPayloads() {
		run := state.expected(sizeClass(payload))
		total += run
		longest = max(longest, run)
	}
	expectedDuration := placement.EstimateFinish(svc.load(kind.GetUrgency(), d.share(svc), now), total, longest)
	timeLeft := deadlineOf(Job{Spec: spec}, kind, now).Sub(now)
	if expectedDuration <= timeLeft {
		return nil
	}
	return &refusal{
		status: http.StatusServiceUnavailable, reason: "deadlineUnreachable", retryAfter: backlogRetryAfter(max(expectedDuration-timeLeft, admission.BriefDelay)),
		detail: fmt.Sprintf("the job is expected to take %d ms, but its deadline is in %d ms", expectedDuration.Milliseconds(), timeLeft.Milliseconds()),
	}
}

// share returns the number of slots that the entry is expected to get: those that
// it holds, and at least an equal share.
func (d *dispatcher) share(svc *serviceState) int {
	return max(svc.held(), svc.slots/(len(d.fleet.peers)+1))
}
