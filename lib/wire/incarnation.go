package wire

// Same tells whether two incarnations are one: the same life of the same
// process. Two that are absent are the same.
func Same(a, b *Incarnation) bool {
	return a.GetId() == b.GetId() && a.GetNumber() == b.GetNumber()
}
