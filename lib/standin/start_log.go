package standin

import (
	"sync"
	"time"
)

// Start records that the server received a task.
type Start struct {
	Job  string    `json:"job"`
	Task string    `json:"task"`
	At   time.Time `json:"at"`
}

// startLog is a server's log of starts. Tests use it to decide whether a task
// started twice, so it shares no code with the system under test.
type startLog struct {
	countOnly bool

	mu      sync.Mutex
	n       int
	entries []Start
}

func (l *startLog) add(start Start) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n++
	if !l.countOnly {
		l.entries = append(l.entries, start)
	}
}

func (l *startLog) starts() []Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Start(nil), l.entries...)
}

func (l *startLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.n
}
