package ledger

import (
	"slices"

	"skylarklane.example/lib/wire"
)

// freedClaims lists the claims under which a key was released or refused, only
// the newest of each incarnation. It is never modified in place.
type freedClaims []*wire.Freed

// includes reports whether a key was released or refused under a claim, or under
// a newer claim of the same incarnation.
func (f freedClaims) includes(inc *wire.Incarnation, claim uint64) bool {
	return slices.ContainsFunc(f, func(one *wire.Freed) bool {
		return wire.Same(one.GetHolder(), inc) && claim <= one.GetClaim()
	})
}

// with returns the list with a claim added. It leaves out the claims of dead
// incarnations, which are not granted keys anyway.
func (f freedClaims) with(inc *wire.Incarnation, claim uint64, dead func(*wire.Incarnation) bool) freedClaims {
	if f.includes(inc, claim) {
		return f
	}
	kept := slices.DeleteFunc(slices.Clone(f), func(one *wire.Freed) bool {
		return wire.Same(one.GetHolder(), inc) || dead(one.GetHolder())
	})
	return append(kept, &wire.Freed{Holder: inc, Claim: claim})
}
