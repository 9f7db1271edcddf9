package process

import "sync"

const (
	// sampleWindowMillis is the length of the window in which lines of an event
	// are counted.
	sampleWindowMillis = 1000
	// sampleRate is how many lines each written line represents above
	// linesPerWindow; above sampleRate times linesPerWindow it is the square.
	sampleRate = 10
	// maxSampledEvents bounds the number of events that are counted separately;
	// all others share one count.
	maxSampledEvents = 512
)

// linesPerWindow is the number of lines of an event that are written per window
// before sampling starts, by priority.
var linesPerWindow = [priorities]int{40, 100, 100}

// sampler decides which lines of an event are written under load. The decision
// is the same for lines of one job in all processes.
type sampler struct {
	mu     sync.Mutex
	events map[string]*sampleCount
	rest   sampleCount
}

// sampleCount counts the lines of one event.
type sampleCount struct {
	window int64
	lines  int
	// dropped is the number of lines dropped since the last one that was
	// written.
	dropped int
}

func newSampler() *sampler { return &sampler{events: map[string]*sampleCount{}} }

// admit reports whether to write a line, and how many lines it represents. A
// nil sampler admits all lines.
func (s *sampler) admit(key string, p priority, job string, up int64) (bool, int) {
	if s == nil {
		return true, 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.count(key)
	if window := up / sampleWindowMillis; window != c.window {
		c.window = window
		c.lines = 0
	}
	c.lines++
	if !isWritten(c.lines, linesPerWindow[p], job) {
		c.dropped++
		return false, 0
	}
	sampled := c.dropped + 1
	c.dropped = 0
	return true, sampled
}

func (s *sampler) count(key string) *sampleCount {
	if c := s.events[key]; c != nil {
		return c
	}
	if len(s.events) >= maxSampledEvents {
		return &s.rest
	}
	c := &sampleCount{}
	s.events[key] = c
	return c
}

// isWritten reports whether the nth line of a window is written.
func isWritten(n, limit int, job string) bool {
	if n <= limit {
		return true
	}
	rate := uint64(sampleRate)
	if n > limit*sampleRate {
		rate *= sampleRate
	}
	if job == "" {
		return uint64(n)%rate == 0
	}
	return hashOf(job)%rate == 0
}
