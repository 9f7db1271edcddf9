package entry

import (
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
}

// rejoin brings a team that had nothing to do level with the others.
func (d *dispatcher) rejoin(t *team) {
	if t.waiting > 0 || t.account.Running > 0 {
		return
	}
	floor, found := 0.0, false
	for _, other := range d.teams {
		if other.waiting == 0 && other.account.Running == 0 {
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

func (d *dispatcher) setQuota(t *team, directory *wire.Directory) {
	t.account = t.account.With(0, 0)
	for _, known := range directory.GetTeams() {
		if known.GetName() == t.name {
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
