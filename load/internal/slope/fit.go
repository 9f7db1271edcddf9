package slope

import "gonum.org/v1/gonum/stat"

// Line is a straight line fitted to measured points.
type Line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
}

// At returns the value of the line at n.
func (l Line) At(n float64) float64 { return l.Base + l.Slope*n }

// Fit holds the lines of one role in one phase, as functions of the number of
// agents.
type Fit struct {
	// CPU is in per cent of a core, RSS in MB.
	CPU, RSS, KBSecond, Requests Line
}

// Fit returns the least-squares lines through the points with one entry, and
// false if there are fewer than two points.
func (r Result) Fit(phase, name string) (Fit, bool) {
	var agents, cpu, rss, bytes, requests []float64
	for _, p := range r.Points {
		role, ok := p.Role(name)
		if !ok || p.Phase != phase || p.Entries != 1 {
			continue
		}
		agents = append(agents, float64(p.Agents))
		cpu = append(cpu, role.CPU*percent)
		rss = append(rss, role.RSSBytes/megabyte)
		bytes = append(bytes, role.BytesPerSecond/kilobyte)
		requests = append(requests, role.RequestsPerSecond)
	}
	if len(agents) < 2 {
		return Fit{}, false
	}
	return Fit{CPU: fitLine(agents, cpu), RSS: fitLine(agents, rss), KBSecond: fitLine(agents, bytes), Requests: fitLine(agents, requests)}, true
}

// Directory returns the size of the directory in bytes as a function of the
// number of agents, and false if there are fewer than two points.
func (r Result) Directory() (Line, bool) {
	var agents, bytes []float64
	for _, p := range r.Points {
		if p.DirectoryBytes > 0 && p.Phase == Idle {
			agents = append(agents, float64(p.Agents))
			bytes = append(bytes, float64(p.DirectoryBytes))
		}
	}
	if len(agents) < 2 {
		return Line{}, false
	}
	return fitLine(agents, bytes), true
}

// Costs returns the processor time per task start in microseconds, at the entry
// and at the agent, and the bytes per start at the entry. Each is the mean over
// the busy points with one entry.
func (r Result) Costs() (entry, agent, bytes float64) {
	n := 0.0
	for _, p := range r.Points {
		e, ok := p.Role(Entry)
		if !ok || p.Phase != Busy || p.Entries != 1 || p.StartsPerSecond == 0 {
			continue
		}
		a, _ := p.Role(Agent)
		entry += e.CPUMicrosPerStart
		agent += a.CPUMicrosPerStart
		bytes += e.BytesPerSecond / p.StartsPerSecond
		n++
	}
	if n == 0 {
		return 0, 0, 0
	}
	return entry / n, agent / n, bytes / n
}

func fitLine(x, y []float64) Line {
	base, slope := stat.LinearRegression(x, y, nil, false)
	return Line{Base: base, Slope: slope}
}
