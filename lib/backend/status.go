package backend

import (
	"slices"
	"strings"
	"time"
)

// Status is the state of one registered backend server.
type Status struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	URL     string `json:"url"`
	Slots   int    `json:"slots"`
	// SilentMillis is the time since the server's last announcement, in
	// milliseconds.
	SilentMillis int64 `json:"silentMillis"`
}

// Statuses returns the state of all registered servers, sorted by id.
func (reg *Registry) Statuses() []Status {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	found := []Status{}
	for id, s := range reg.servers {
		found = append(found, Status{
			ID: id, Service: s.announcement.Service, URL: s.announcement.URL, Slots: s.announcement.Slots,
			SilentMillis: time.Since(s.announcedAt).Milliseconds(),
		})
	}
	slices.SortFunc(found, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return found
}
