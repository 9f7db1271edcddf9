package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// millis returns the time since the start of the script.
func (r *record) millis() int64 { return time.Since(r.began).Milliseconds() }

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writef(format, args...)
}

func (r *record) writef(format string, args ...any) {
	fmt.Fprintf(r.file, "%7d ms  %s\n", r.millis(), fmt.Sprintf(format, args...))
}

// breakf records that a rule was broken.
func (r *record) breakf(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := rule + " broken: " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.writef("%s", text)
}

func (r *record) brokenRules() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}
