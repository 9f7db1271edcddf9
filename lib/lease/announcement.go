package lease

import (
	"strconv"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/capacity"
)

// LifeName names one life of a worker: its id and its start.
func (a Announcement) LifeName() string {
	return a.ID + "@" + strconv.FormatInt(a.Born, 10)
}

// check tells whether the announcement names a usable worker.
func (a Announcement) check() error {
	reason := ""
	switch {
	case a.ID == "":
		reason = "no id"
	case a.Service == "":
		reason = "no service"
	case a.Address == "":
		reason = "no address"
	case a.Born <= 0:
		reason = "no start of its life"
	case a.ClockMillis < 0:
		reason = "clock below zero"
	case !isAmount(a.capacity()) || a.CPUMillis == 0:
		reason = "no capacity"
	}
	if reason == "" {
		return nil
	}
	return &Error{Op: "announce", Kind: KindAnnouncement, Err: eris.New(reason)}
}

func (a Announcement) capacity() capacity.Vector {
	return capacity.Vector{CPUMillis: a.CPUMillis, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators}
}

// isAmount tells whether no part of v is below zero.
func isAmount(v capacity.Vector) bool {
	return min(v.CPUMillis, v.MemoryMB, v.Accelerators) >= 0
}

// notBelowZero is v without what is overdrawn.
func notBelowZero(v capacity.Vector) capacity.Vector {
	return capacity.Vector{
		CPUMillis:    max(v.CPUMillis, 0),
		MemoryMB:     max(v.MemoryMB, 0),
		Accelerators: max(v.Accelerators, 0),
	}
}
