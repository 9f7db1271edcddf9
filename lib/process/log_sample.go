package process

import "sync"

const (
	// sampleWindowMillis is the time over which lines of an event are counted.
	sampleWindowMillis = 1000
	// sampleRate is how many lines one stands for above the first limit, and
	// its square above ten times that limit.
	sampleRate = 10
	// maxSampled bounds how many events are counted by themselves.
	maxSampled = 512
)

// linesPerWindow is how many lines of an event are written in full, by
// priority.
var linesPerWindow = [priorities]int{40, 100, 100}

// sampler decides which lines of an event are written under load. Lines of one
// job are kept or left out together, at all processes.
type sampler struct {
	mu     sync.Mutex
	events map[string]*sampleCount
	rest   sampleCount
}

// sampleCount counts the lines of one event.
type sampleCount struct {
	window int64
	lines  int
	// left is how many lines were left out since the last one that was kept.
	left int
}

func newSampler() *sampler { return &sampler{events: map[string]*sampleCount{}} }

// admit tells whether to write a line, and how many lines it stands for. A nil
// sampler admits all.
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
	if !keeps(c.lines, linesPerWindow[p], job) {
		c.left++
		return false, 0
	}
	sampled := c.left + 1
	c.left = 0
	return true, sampled
}

func (s *sampler) count(key string) *sampleCount {
	if c := s.events[key]; c != nil {
		return c
	}
	if len(s.events) >= maxSampled {
		return &s.rest
	}
	c := &sampleCount{}
	s.events[key] = c
	return c
}

// keeps tells whether the nth line of a window is written.
func keeps(n, limit int, job string) bool {
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
