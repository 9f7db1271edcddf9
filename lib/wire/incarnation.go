package wire

import "strconv"

// Same reports whether a and b are the same incarnation of the same process. Two
// nil incarnations are the same.
func Same(a, b *Incarnation) bool {
	return a.GetId() == b.GetId() && a.GetNumber() == b.GetNumber()
}

// HexNumber returns the number of the incarnation in hexadecimal, as shown to
// operators.
func (x *Incarnation) HexNumber() string { return strconv.FormatUint(x.GetNumber(), 16) }
