package lease

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/capacity"
)

const (
	// maxNameBytes limits an id, a service name or a label.
	maxNameBytes = 256
	// maxLabels limits the labels of a worker.
	maxLabels = 64
	// maxCount is the largest sequence number, and the largest time in
	// milliseconds, that an announcement may have.
	maxCount = 1 << 53
	// maxResource limits each resource, so that the sum over all workers and
	// runs does not overflow.
	maxResource = 1 << 40
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
	case !isName(a.ID):
		reason = "worker id is missing, too long or not printable"
	case !isName(a.Service):
		reason = "service is missing, too long or not printable"
	case !isAddress(a.Address):
		reason = "address must be an IP address and a port"
	case a.Sequence > maxCount:
		reason = "sequence number is too large"
	case a.Born <= 0 || a.Born > maxCount:
		reason = "start time of the worker must be positive and not too large"
	case a.ClockMillis < 0 || a.ClockMillis > maxCount:
		reason = "clock reading is negative or too large"
	case !isCapacity(a.capacity()):
		reason = "CPU capacity is missing, or a capacity is negative or too large"
	case len(a.Labels) > maxLabels || slices.ContainsFunc(a.Labels, func(l string) bool { return !isText(l) }):
		reason = "labels are too many, too long or not printable"
	}
	if reason == "" {
		return nil
	}
	return &Error{Op: "announce", Kind: KindAnnouncement, Err: eris.New(reason)}
}

func (a Announcement) capacity() capacity.Vector {
	return capacity.Vector{CPUMillis: a.CPUMillis, MemoryMB: a.MemoryMB, Accelerators: a.Accelerators}
}

// isName reports whether s is text that isn't empty.
func isName(s string) bool { return s != "" && isText(s) }

// isText reports whether s is short enough and can be logged and sent in
// messages and headers.
func isText(s string) bool {
	return len(s) <= maxNameBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, isUnprintable)
}

func isUnprintable(r rune) bool { return !unicode.IsPrint(r) }

// isAddress reports whether s is an IP address and a port at which a worker can
// be called.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

// isCapacity reports whether v can be the capacity of a worker.
func isCapacity(v capacity.Vector) bool {
	return isNonNegative(v) && v.CPUMillis > 0 && max(v.CPUMillis, v.MemoryMB, v.Accelerators) <= maxResource
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
