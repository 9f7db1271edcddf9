// Package slope measures what each role uses against the number of agents and
// entries, idle and busy, so that the use at larger sizes can be worked out.
package slope

import (
	"time"

	"skylarklane.example/load/internal/fleet"
	"skylarklane.example/load/internal/report"
)

// Phases of a point.
const (
	Idle = "idle"
	Busy = "busy"
)

// Roles of a point.
const (
	// Leader is the control host that used most processor time.
	Leader   = "controlLeader"
	Follower = "controlFollower"
	Entry    = "entry"
	// Agent is one of many in one process: their stand-ins are counted in.
	Agent = "agent"
)

// Result is what a sitting measured.
type Result struct {
	Origin report.Origin `json:"origin"`
	Points []Point       `json:"points"`
	Keys   []Keys        `json:"keys"`
}

// Point is the use at one size in one phase.
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
	// DirectoryChanges during the phase; others than 0 raise what control uses.
	DirectoryChanges uint64 `json:"directoryChanges"`
	// DirectoryBytes is the size of the directory as a message.
	DirectoryBytes int    `json:"directoryBytes"`
	Roles          []Role `json:"roles"`
	Error          string `json:"error,omitempty"`
}

// Role is the use of one process of a role, the mean where there are several.
type Role struct {
	Name string `json:"name"`
	// CPU is in cores.
	CPU      float64 `json:"cpu"`
	RSSBytes float64 `json:"rssBytes"`
	// BytesPerSecond are read and written.
	BytesPerSecond float64 `json:"bytesPerSecond"`
	// RequestsPerSecond that it served.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	// CPUMicrosPerStart is the processor time for each start, busy only.
	CPUMicrosPerStart float64 `json:"cpuMicrosPerStart"`
}

// role returns the use of one process between two readings, shared by n.
func role(name string, before, after fleet.Usage, requests float64, n int) Role {
	seconds := after.At.Sub(before.At).Seconds()
	share := float64(n)
	used := after.Since(before)
	return Role{
		Name:              name,
		CPU:               used.CPU.Seconds() / seconds / share,
		RSSBytes:          float64(used.RSS) / share,
		BytesPerSecond:    float64(used.Bytes) / seconds / share,
		RequestsPerSecond: requests / seconds / share,
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

// withCosts adds the processor time for each start.
func (p Point) withCosts() Point {
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
