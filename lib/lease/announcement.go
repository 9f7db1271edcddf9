package lease

import (
	"strconv"

	"github.com/rotisserie/eris"
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
	case !a.capacity().valid() || a.CPUMillis == 0:
		reason = "no capacity"
	}
	if reason == "" {
		return nil
	}
	return &Error{Op: "announce", Kind: KindAnnouncement, Err: eris.New(reason)}
}

func (a Announcement) capacity() resources {
	return resources{a.CPUMillis, a.MemoryMB, a.Accelerators}
}
