package entry

import (
	"maps"
	"time"

	"skylarklane.example/lib/quota"
	"skylarklane.example/lib/wire"
)

// team is the entry's state for one team.
type team struct {
	name    string
	account quota.Account
	// waiting counts the queued jobs over all services.
	waiting int
	// configured is set if the team is in the current configuration.
	configured bool
}

// idle reports whether the team has neither waiting jobs nor running tasks.
func (t *team) idle() bool { return t.waiting == 0 && t.account.Running == 0 }

// raiseUsage raises the usage of an idle team to the lowest usage among the teams
// that are not idle. It is called when the team becomes active.
func (d *dispatcher) raiseUsage(t *team) {
	if !t.idle() {
		return
	}
	lowest, found := 0.0, false
	for _, other := range d.teams {
		if other.idle() {
			continue
		}
		if !found || other.account.Used < lowest {
			lowest, found = other.account.Used, true
		}
	}
	t.account = t.account.WithFloor(lowest)
}

// serviceState returns the state of a service, which it creates if needed.
func (d *dispatcher) serviceState(service string) *serviceState {
	svc := d.services[service]
	if svc == nil {
		svc = newServiceState(service, d.startedAt)
		d.services[service] = svc
	}
	return svc
}

// team returns the state of a team, which it creates if needed.
func (d *dispatcher) team(name string) *team {
	t := d.teams[name]
	if t == nil {
		t = &team{name: name}
		d.teams[name] = t
		d.setQuota(t, d.follower.Directory())
	}
	return t
}

// removeIdleTeams removes idle teams that are not configured. Callers can name
// arbitrary teams, so they would otherwise accumulate.
func (d *dispatcher) removeIdleTeams() {
	maps.DeleteFunc(d.teams, func(_ string, t *team) bool { return !t.configured && t.idle() })
}

func (d *dispatcher) setQuota(t *team, directory *wire.Directory) {
	t.account = t.account.WithSettings(0, 0)
	t.configured = false
	for _, known := range directory.GetTeams() {
		if known.GetName() == t.name {
			t.configured = true
			t.account = t.account.WithSettings(known.GetWeight(), known.GetMaxRunning())
		}
	}
}

// currentKind returns the kind of a job by the current configuration; nil if it
// is not configured.
func (d *dispatcher) currentKind(spec *wire.JobSpec) *wire.Kind {
	return findKind(d.follower.Directory(), spec.GetService(), spec.GetKind())
}

func findKind(directory *wire.Directory, service, name string) *wire.Kind {
	for _, s := range directory.GetServices() {
		if s.GetName() != service {
			continue
		}
		for _, kind := range s.GetKinds() {
			if kind.GetName() == name {
				return kind
			}
		}
	}
	return nil
}

// deadlineOf returns the deadline of a job.
func deadlineOf(job Job, kind *wire.Kind, now time.Time) time.Time {
	if !job.Deadline.IsZero() {
		return job.Deadline
	}
	for _, millis := range []int64{job.Spec.GetDeadlineMillis(), kind.GetDeadlineMillis()} {
		if millis > 0 {
			return now.Add(time.Duration(millis) * time.Millisecond)
		}
	}
	return now.Add(defaultDeadline)
}
