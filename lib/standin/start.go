package standin

import (
	"sync"
	"time"
)

// Start is one start as the server saw it.
type Start struct {
	Job  string    `json:"job"`
	Task string    `json:"task"`
	At   time.Time `json:"at"`
}

// startList is what a server remembers of its starts. It is the judge of
// whether a task started twice, so it shares nothing with the system.
type startList struct {
	quiet bool

	mu   sync.Mutex
	n    int
	list []Start
}

func (l *startList) add(start Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	if !l.quiet {
		l.list = append(l.list, start)
	}
}

func (l *startList) starts() []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Start(nil), l.list...)
}

func (l *startList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n
}
