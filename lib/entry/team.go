package entry

import (
	"maps"
	"time"

	"skylarklane.example/lib/quota"
	"skylarklane.example/lib/wire"
)

// team is what the entry knows of one team.
type team struct {
	name    string
	account quota.Account
	// waiting jobs over all services.
	waiting int
	// named in the configuration in force.
	named bool
}

// idle tells whether nothing of the team waits or runs.
func (t *team) idle() bool { return t.waiting == 0 && t.account.Running == 0 }

// rejoin brings a team that had nothing to do level with the others.
func (d *dispatcher) rejoin(t *team) {
	if !t.idle() {
		return
	}
	floor, found := 0.0, false
	for _, other := range d.teams {
		if other.idle() {
			continue
		}
		if !found || other.account.Used < floor {
			floor, found = other.account.Used, true
		}
	}
	t.account = t.account.WithFloor(floor)
}

// desk returns the desk of a service.
func (d *dispatcher) desk(service string) *desk {
	k := d.desks[service]
	if k == nil {
		k = newDesk(service, d.startedAt)
		d.desks[service] = k
	}
	return k
}

// team returns the account of a team.
func (d *dispatcher) team(name string) *team {
	t := d.teams[name]
	if t == nil {
		t = &team{name: name}
		d.teams[name] = t
		d.setQuota(t, d.follower.Directory())
	}
	return t
}

// sweepTeams forgets idle teams that the configuration doesn't name, since any
// caller can name one.
func (d *dispatcher) sweepTeams() {
	maps.DeleteFunc(d.teams, func(_ string, t *team) bool { return !t.named && t.idle() })
}

func (d *dispatcher) setQuota(t *team, directory *wire.Directory) {
	t.account = t.account.With(0, 0)
	t.named = false
	for _, known := range directory.GetTeams() {
		if known.GetName() == t.name {
			t.named = true
			t.account = t.account.With(known.GetWeight(), known.GetMaxRunning())
		}
	}
}

// kindOf returns the kind of a job as it is in force; nil where there is none.
func (d *dispatcher) kindOf(spec *wire.JobSpec) *wire.Kind {
	return kindIn(d.follower.Directory(), spec.GetService(), spec.GetKind())
}

func kindIn(directory *wire.Directory, service, name string) *wire.Kind {
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

// deadlineOf returns when a job must be done.
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
