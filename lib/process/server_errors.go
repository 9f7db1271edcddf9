package process

import (
	"log/slog"
	"strings"
	"sync"
	"time"
)

// serverErrors logs what net/http reports of clients, such as failed handshakes, with
// at most one line for each limitReportInterval.
type serverErrors struct {
	log *slog.Logger

	mu       sync.Mutex
	loggedAt time.Time
	count    int
}

// Write implements io.Writer for one report.
func (e *serverErrors) Write(report []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count++
	if now := time.Now(); now.Sub(e.loggedAt) >= limitReportInterval {
		e.log.Warn("The HTTP server reported an error.", "error", strings.TrimSpace(string(report)), "count", e.count)
		e.loggedAt, e.count = now, 0
	}
	return len(report), nil
}
