package lease

import (
	"strconv"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/capacity"
)

// IncarnationName returns the name of the worker's incarnation: its id and its
// start time.
func (a Announcement) IncarnationName() string {
	return a.ID + "@" + strconv.FormatInt(a.Born, 10)
}

// check returns an error if a required field is missing or a value is out of
// range.
func (a Announcement) check() error {
	reason := ""
	switch {
	case a.ID == "":
		reason = "worker id is missing"
	case a.Service == "":
		reason = "service is missing"
	case a.Address == "":
		reason = "address is missing"
	case a.Born <= 0:
		reason = "start time of the worker must be positive"
	case a.ClockMillis < 0:
		reason = "clock reading is negative"
	case !isNonNegative(a.capacity()) || a.CPUMillis == 0:
		reason = "CPU capacity is missing or a capacity is negative"
	}
	if reason == "" {
		return nil
	}
	return &Error{Op: "announce", Kind: KindAnnouncement, Err: eris.New(reason)}
}

func (a Announcement) capacity() capacity.Vector {
	return capacity.Vector{CPUMillis: a.CPUMillis, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators}
}

// isNonNegative reports whether no component of v is negative.
func isNonNegative(v capacity.Vector) bool {
	return min(v.CPUMillis, v.MemoryMB, v.Accelerators) >= 0
}

// clampToZero returns v with negative components (overcommitted resources)
// set to 0.
func clampToZero(v capacity.Vector) capacity.Vector {
	return capacity.Vector{
		CPUMillis:    max(v.CPUMillis, 0),
		MemoryMB:     max(v.MemoryMB, 0),
		Accelerators: max(v.Accelerators, 0),
	}
}
