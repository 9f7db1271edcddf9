// Package capacity represents the resources that workers have and tasks need.
package capacity

import "skylarklane.example/lib/wire"

// Vector holds an amount of each resource.
type Vector struct {
	CPUMillis    int64
	MemoryMB     int64
	Accelerators int64
}

// FromWire returns the vector for a wire message.
func FromWire(r *wire.Resources) Vector {
	return Vector{CPUMillis: r.GetCpuMillis(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators()}
}

// ToWire returns the wire message for v.
func (v Vector) ToWire() *wire.Resources {
	return &wire.Resources{CpuMillis: v.CPUMillis, MemoryMb: v.MemoryMB, Accelerators: v.Accelerators}
}

// Plus returns the sum of v and w.
func (v Vector) Plus(w Vector) Vector {
	return Vector{v.CPUMillis + w.CPUMillis, v.MemoryMB + w.MemoryMB, v.Accelerators + w.Accelerators}
}

// Minus returns v less w.
func (v Vector) Minus(w Vector) Vector {
	return Vector{v.CPUMillis - w.CPUMillis, v.MemoryMB - w.MemoryMB, v.Accelerators - w.Accelerators}
}

// Times returns n times v.
func (v Vector) Times(n int64) Vector {
	return Vector{n * v.CPUMillis, n * v.MemoryMB, n * v.Accelerators}
}

// Fits reports whether v is at most w in each resource.
func (v Vector) Fits(w Vector) bool {
	return v.CPUMillis <= w.CPUMillis && v.MemoryMB <= w.MemoryMB && v.Accelerators <= w.Accelerators
}

// Share returns the dominant share of v: the largest of the fractions of whole,
// one for each resource, that v takes.
func (v Vector) Share(whole Vector) float64 {
	share := fraction(v.CPUMillis, whole.CPUMillis)
	share = max(share, fraction(v.MemoryMB, whole.MemoryMB))
	return max(share, fraction(v.Accelerators, whole.Accelerators))
}

// fraction returns n as a fraction of whole. Any amount of a resource of which
// there is none counts as 1.
func fraction(n, whole int64) float64 {
	switch {
	case n <= 0:
		return 0
	case whole <= 0:
		return 1
	}
	return float64(n) / float64(whole)
}
