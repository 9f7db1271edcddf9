// Package slope measures what each role uses as a function of the number of
// agents and entries, idle and busy, so that the usage at larger sizes can be
// extrapolated.
package slope

import (
	"time"

	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/report"
)

// Phases in which a point is measured.
const (
	Idle = "idle"
	Busy = "busy"
)

// Roles of processes.
const (
	// Leader is the control host that used the most processor time.
	Leader   = "controlLeader"
	Follower = "controlFollower"
	Entry    = "entry"
	// Agent is one of many agents in one process, which also runs their
	// stand-ins: the usage includes those.
	Agent = "agent"
)

// Result is the result of one run of the command.
type Result struct {
	Origin report.Origin `json:"origin"`
	Points []Point       `json:"points"`
	Keys   []Keys        `json:"keys"`
}

// Point is the usage at one size in one phase.
type Point struct {
	Agents          int     `json:"agents"`
	Entries         int     `json:"entries"`
	Controls        int     `json:"controls"`
	Phase           string  `json:"phase"`
	LoadAverage     string  `json:"loadAverage"`
	Seconds         float64 `json:"seconds"`
	StartsPerSecond float64 `json:"startsPerSecond"`
	JobsPerSecond   float64 `json:"jobsPerSecond"`
	Failed          int     `json:"failed"`
	// DirectoryChanges is the number of changes of the directory during the
	// phase. Each one adds to the usage of the control hosts.
	DirectoryChanges uint64 `json:"directoryChanges"`
	// DirectoryBytes is the size of the encoded directory.
	DirectoryBytes int    `json:"directoryBytes"`
	Roles          []Role `json:"roles"`
	Error          string `json:"error,omitempty"`
}

// Role is the usage of one process of a role; the mean if there are several.
type Role struct {
	Name string `json:"name"`
	// CPU is in cores.
	CPU      float64 `json:"cpu"`
	RSSBytes float64 `json:"rssBytes"`
	// BytesPerSecond counts bytes read and written.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// RequestsPerSecond counts the requests that the process served.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// CPUMicrosPerStart is the processor time per task start, in the busy phase
	// only.
	CPUMicrosPerStart float64 `json:"cpuMicrosPerStart"`
}

// newRole returns the usage of a process between two readings, divided by n,
// the number of role members that it runs.
func newRole(name string, before, after fleet.Usage, requests float64, n int) Role {
	seconds := after.At.Sub(before.At).Seconds()
	count := float64(n)
	used := after.Since(before)
	return Role{
		Name:              name,
		CPU:               used.CPU.Seconds() / seconds / count,
		RSSBytes:          float64(used.RSS) / count,
		BytesPerSecond:    float64(used.Bytes) / seconds / count,
		RequestsPerSecond: requests / seconds / count,
	}
}

// Role returns the named role of the point.
func (p Point) Role(name string) (Role, bool) {
	for _, r := range p.Roles {
		if r.Name == name {
			return r, true
		}
	}
	return Role{}, false
}

// withStartCosts returns the point with the processor time per task start.
func (p Point) withStartCosts() Point {
	if p.StartsPerSecond == 0 {
		return p
	}
	for n, r := range p.Roles {
		perStart := r.CPU / p.StartsPerSecond
		if r.Name == Entry {
			perStart *= float64(p.Entries)
		}
		if r.Name == Agent {
			perStart *= float64(p.Agents)
		}
		p.Roles[n].CPUMicrosPerStart = perStart * float64(time.Second/time.Microsecond)
	}
	return p
}

// Keys is the memory of one agent before and after a number of jobs.
type Keys struct {
	Agents         int     `json:"agents"`
	Jobs           int     `json:"jobs"`
	RSSBefore      float64 `json:"rssBefore"`
	RSSAfter       float64 `json:"rssAfter"`
	BytesPerRecord float64 `json:"bytesPerRecord"`
	EntryBefore    float64 `json:"entryBefore"`
	EntryAfter     float64 `json:"entryAfter"`
	Error          string  `json:"error,omitempty"`
}
