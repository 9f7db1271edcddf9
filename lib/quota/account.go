// Package quota shares slots among teams by weight, limits the running tasks of
// each team, and limits retries.
package quota

// Account is the quota and the usage of one team.
type Account struct {
	// Weight is the weight of the team's share; 0 counts as 1.
	Weight uint32
	// MaxRunning limits the running tasks; 0 means no limit.
	MaxRunning uint32
	// Running counts the running tasks.
	Running int
	// Used is the usage: the total work that was started, divided by the weight.
	Used float64
}

// WithSettings returns the account with the given weight and limit.
func (a Account) WithSettings(weight, maxRunning uint32) Account {
	a.Weight = weight
	a.MaxRunning = maxRunning
	return a
}

// WithStarted returns the account after a task with the given amount of work
// has started.
func (a Account) WithStarted(work float64) Account {
	a.Running++
	a.Used += work / float64(max(a.Weight, 1))
	return a
}

// WithEnded returns the account after a task has ended.
func (a Account) WithEnded() Account {
	a.Running--
	return a
}

// WithFloor returns the account with a usage of at least floor. It is applied to
// a team that was idle, so that it does not get more than its share later to make
// up for the idle time.
func (a Account) WithFloor(floor float64) Account {
	a.Used = max(a.Used, floor)
	return a
}

// MayStart reports whether the team may start another task.
func (a Account) MayStart() bool {
	return a.MaxRunning == 0 || a.Running < int(a.MaxRunning)
}
