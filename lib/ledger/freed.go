package ledger

import (
	"slices"

	"skylarklane.example/lib/wire"
)

// freed lists the claims under which a key was released or refused, the newest
// of each incarnation. It is never modified in place.
type freed []*wire.Freed

// includes reports whether a claim was released or refused, or is older than
// one that was.
func (f freed) includes(inc *wire.Incarnation, claim uint64) bool {
	return slices.ContainsFunc(f, func(one *wire.Freed) bool {
		return wire.Same(one.GetHolder(), inc) && claim <= one.GetClaim()
	})
}

// with returns the list with a claim added, and without the claims of dead
// incarnations, which are not granted holds anyway.
func (f freed) with(inc *wire.Incarnation, claim uint64, dead func(*wire.Incarnation) bool) freed {
	if f.includes(inc, claim) {
		return f
	}
	kept := slices.DeleteFunc(slices.Clone(f), func(one *wire.Freed) bool {
		return wire.Same(one.GetHolder(), inc) || dead(one.GetHolder())
	})
	return append(kept, &wire.Freed{Holder: inc, Claim: claim})
}
