// Package quota shares slots among teams by weight and keeps each below its
// limit.
package quota

// Account is what one team may use and has used.
type Account struct {
	// Weight of the team's share; 0 counts as 1.
	Weight uint32
	// MaxRunning tasks at once; 0 for no limit.
	MaxRunning uint32
	// Running tasks.
	Running int
	// Used is the work started so far over the weight.
	Used float64
}

// With returns the account under the given weight and limit.
func (a Account) With(weight, maxRunning uint32) Account {
	a.Weight = weight
	a.MaxRunning = maxRunning
	return a
}

// WithStarted returns the account after the start of a task that costs work.
func (a Account) WithStarted(work float64) Account {
	a.Running++
	a.Used += work / float64(max(a.Weight, 1))
	return a
}

// WithEnded returns the account after the end of a task.
func (a Account) WithEnded() Account {
	a.Running--
	return a
}

// WithFloor returns the account of a team that comes back to the queue: time
// without work earns no right to a burst.
func (a Account) WithFloor(floor float64) Account {
	a.Used = max(a.Used, floor)
	return a
}

// MayStart tells whether another task keeps the team below its limit.
func (a Account) MayStart() bool {
	return a.MaxRunning == 0 || a.Running < int(a.MaxRunning)
}
