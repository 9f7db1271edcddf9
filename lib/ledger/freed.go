package ledger

import (
	"slices"

	"skylarklane.example/lib/wire"
)

// freed lists the claims under which a key was given back or refused, the
// newest of each incarnation. It is never changed in place.
type freed []*wire.Freed

// has tells whether a claim was given back, or is older than one that was.
func (f freed) has(who *wire.Incarnation, claim uint64) bool {
	return slices.ContainsFunc(f, func(one *wire.Freed) bool {
		return wire.Same(one.GetHolder(), who) && claim <= one.GetClaim()
	})
}

// with returns the list with one more claim, without those of the dead, whose
// holds are not granted anyway.
func (f freed) with(who *wire.Incarnation, claim uint64, dead func(*wire.Incarnation) bool) freed {
	if f.has(who, claim) {
		return f
	}
	kept := slices.DeleteFunc(slices.Clone(f), func(one *wire.Freed) bool {
		return wire.Same(one.GetHolder(), who) || dead(one.GetHolder())
	})
	return append(kept, &wire.Freed{Holder: who, Claim: claim})
}
