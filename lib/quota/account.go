// Package quota shares slots among teams by weight, keeps each team below its
// limit of running tasks, and limits retries.
package quota

// Account is the quota and the usage of one team.
type Account struct {
	// Weight of the team's share; 0 counts as 1.
	Weight uint32
	// MaxRunning limits the running tasks; 0 means no limit.
	MaxRunning uint32
	// Running counts the running tasks.
	Running int
	// Used is the total work started so far, divided by the weight.
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

// WithFloor returns the account with a usage of at least floor. It is applied
// to a team that was idle, so that idle time does not entitle the team to a
// burst.
func (a Account) WithFloor(floor float64) Account {
	a.Used = max(a.Used, floor)
	return a
}

// MayStart reports whether the team may start another task.
func (a Account) MayStart() bool {
	return a.MaxRunning == 0 || a.Running < int(a.MaxRunning)
}
