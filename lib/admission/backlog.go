// Package admission decides when a job is refused, when its caller should submit
// it again, and where a job that was refused before is queued. It reads no clock
// and draws no random numbers: both are arguments.
package admission

import "time"

const (
	// usualEntries is the number of entries from which an entry is assumed to get
	// an equal share of the capacity. The trials of docs/PLACEMENT.md were made
	// with a share of 1/usualEntries for each of eight entries.
	usualEntries = 16
	// fewEntries is the number of entries of which 1/usualEntries is a quarter of
	// an equal share.
	fewEntries = 4
)

// Backlog is the work that has to be done before a queued job.
type Backlog struct {
	// QueuedWork is the work in the entry's own queue, in thousandths of a core
	// times nanoseconds.
	QueuedWork float64
	// AgentWork is the work that waits at agents, of all entries, in the same
	// unit.
	AgentWork float64
	// Running is the processor share, in thousandths of a core, that the
	// entry's tasks use now.
	Running int64
	// Capacity is the processor capacity of all workers together, in
	// thousandths of a core.
	Capacity int64
	// Entries is the number of entries that compete for the capacity; 0 if it is
	// unknown.
	Entries int
}

// Wait returns the expected time to process the backlog: the entry's queue at
// the share of the capacity that the entry gets, the work at agents at all of it.
func (b Backlog) Wait() time.Duration {
	running, capacity := float64(b.Running), float64(b.Capacity)
	rate := max(running, capacity/minShareDivisor(b.Entries), 1)
	return time.Duration(b.QueuedWork/rate + b.AgentWork/max(capacity, 1))
}

// minShareDivisor returns the divisor that bounds the share of the capacity of
// all workers that an entry is assumed to get: it is at least 1/minShareDivisor.
// Up to fewEntries that is a quarter of an equal share, then 1/usualEntries, and
// an equal share from usualEntries on: with more entries, 1/usualEntries would be
// more than an equal share, and an entry would refuse too late.
func minShareDivisor(entries int) float64 {
	if entries <= 0 {
		return usualEntries
	}
	if entries < fewEntries {
		return float64(entries) * usualEntries / fewEntries
	}
	return max(float64(entries), usualEntries)
}
