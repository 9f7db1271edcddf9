package wire

import "strconv"

// Same tells whether two incarnations are one: the same life of the same
// process. Two that are absent are the same.
func Same(a, b *Incarnation) bool {
	return a.GetId() == b.GetId() && a.GetNumber() == b.GetNumber()
}

// Life returns the number of an incarnation as operators read it: hexadecimal.
func (x *Incarnation) Life() string { return strconv.FormatUint(x.GetNumber(), 16) }
