package slope

// maxAgents limits the agents in one process.
const maxAgents = 400

// Size is one size of the system.
type Size struct {
	Agents, Entries, Controls int
}

// Sizes returns one size for each number of agents, with one entry, and one size
// for each number of entries, with the second of the numbers of agents.
func Sizes(agents, entries []int, controls int) []Size {
	var sizes []Size
	for _, n := range agents {
		sizes = append(sizes, Size{Agents: min(n, maxAgents), Entries: 1, Controls: controls})
	}
	if len(sizes) == 0 {
		return nil
	}
	for _, n := range entries {
		sizes = append(sizes, Size{Agents: sizes[min(1, len(agents)-1)].Agents, Entries: n, Controls: controls})
	}
	return sizes
}

func (s Size) point(phase string) Point {
	return Point{Agents: s.Agents, Entries: s.Entries, Controls: s.Controls, Phase: phase}
}
