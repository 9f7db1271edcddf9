package slope

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestFit(t *testing.T) {
	is := is.New(t)
	idlePoint := func(agents, entries int, cpu float64) Point {
		return Point{Agents: agents, Entries: entries, Phase: Idle, Roles: []Role{{Name: Leader, CPU: cpu, RSSBytes: 20 * megabyte}}}
	}
	r := Result{Points: []Point{idlePoint(10, 1, 0.02), idlePoint(110, 1, 0.12), idlePoint(110, 4, 9)}}
	f, ok := r.Fit(Idle, Leader)
	is.True(ok)
	is.True(math.Abs(f.CPU.At(1010)-102) < 1e-6) // 1 % plus 0.1 % for each agent
	is.True(math.Abs(f.RSS.Slope) < 1e-6)
	_, ok = r.Fit(Busy, Leader)
	is.True(!ok)
}

func TestCosts(t *testing.T) {
	is := is.New(t)
	p := Point{Agents: 10, Entries: 1, Phase: Busy, StartsPerSecond: 1000, Roles: []Role{
		{Name: Entry, CPU: 0.1, BytesPerSecond: 500_000}, {Name: Agent, CPU: 0.01},
	}}.withStartCosts()
	entry, agent, bytes := Result{Points: []Point{p}}.Costs()
	is.True(math.Abs(entry-100) < 1e-6)
	is.True(math.Abs(agent-100) < 1e-6)
	is.Equal(bytes, 500.0)
}
