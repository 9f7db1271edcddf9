package capacity

import (
	"testing"

	"github.com/matryer/is"
)

func TestVector(t *testing.T) {
	is := is.New(t)
	whole := Vector{CPUMillis: 4000, MemoryMB: 1000}
	need := Vector{CPUMillis: 1000, MemoryMB: 500}
	is.True(need.Fits(whole))
	is.True(need.Times(2).Fits(whole))
	is.True(!need.Times(3).Fits(whole))
	is.True(!Vector{Accelerators: 1}.Fits(whole))
	is.Equal(whole.Minus(need).Plus(need), whole)
	is.Equal(need.Share(whole), 0.5)
	is.Equal(Vector{Accelerators: 1}.Share(whole), 1.0)
	is.Equal(FromWire(need.ToWire()), need)
}
