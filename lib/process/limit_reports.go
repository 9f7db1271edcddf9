package process

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"skylarklane.example/lib/event"
)

// limitReportInterval is the time between two lines of one reason.
const limitReportInterval = time.Second

// limitReports logs limited connections, with one line for each reason and
// limitReportInterval. Clients choose how many connections they open, so a line for each
// would let them choose the volume of the log.
type limitReports struct {
	log *slog.Logger

	mu sync.Mutex
	// byReason has a report for each reason that was ever logged.
	byReason map[string]*limitReport
}

// limitReport is what has happened for one reason since its last line.
type limitReport struct {
	loggedAt time.Time
	count    int
	// address and peer are those of the last connection.
	address, peer string
}

func newLimitReports(log *slog.Logger) *limitReports {
	return &limitReports{log: log, byReason: map[string]*limitReport{}}
}

// add counts a connection. The first one after a quiet time is logged at once.
func (r *limitReports) add(reason string, c net.Conn, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one := r.byReason[reason]
	if one == nil {
		one = &limitReport{}
		r.byReason[reason] = one
	}
	one.count++
	one.address, one.peer = c.LocalAddr().String(), c.RemoteAddr().String()
	r.write(reason, one, now)
}

// flush logs what has waited for limitReportInterval.
func (r *limitReports) flush(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for reason, one := range r.byReason {
		r.write(reason, one, now)
	}
}

// write logs a report unless the last line is too recent.
func (r *limitReports) write(reason string, one *limitReport, now time.Time) {
	if one.count == 0 || now.Sub(one.loggedAt) < limitReportInterval {
		return
	}
	event.ConnectionLimited.Log(context.Background(), r.log, slog.String("reason", reason),
		slog.String("address", one.address), slog.String("peer", one.peer), slog.Int("connections", one.count))
	one.loggedAt, one.count = now, 0
}
