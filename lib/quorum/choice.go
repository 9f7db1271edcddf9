package quorum

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// choiceWait is how long a relay waits for hosts to come before it chooses.
const choiceWait = time.Second

// choice is how relays find one founder, where no seed has a disk. Each names
// the lowest address that it has heard of, and fixes it once all seeds name the
// same. A choice moves only to a lower address until it is fixed, or to one
// that another relay has fixed: so two relays never fix different ones.
type choice struct {
	hosts   map[string]*wire.LogHost
	firstAt time.Time
	founder *wire.LogHost
	fixed   bool
}

// register takes note of a host that may found.
func (c *choice) register(q *wire.MeetRequest, now time.Time) {
	if len(c.hosts) == 0 {
		c.firstAt = now
	}
	if len(c.hosts) < maxKnown {
		c.hosts[q.GetAddress()] = &wire.LogHost{Id: q.GetId(), Address: q.GetAddress(), Folder: q.GetFolder()}
	}
}

// lower makes the lowest host the choice. A fixed one stays.
func (c *choice) lower(now time.Time) {
	if c.fixed || len(c.hosts) == 0 || now.Sub(c.firstAt) < choiceWait {
		return
	}
	for _, host := range c.hosts {
		if c.founder == nil || host.GetAddress() < c.founder.GetAddress() {
			c.founder = host
		}
	}
}

// choose brings the choice up to date with the other seeds' answers.
func (r *Relay) choose(replies []*wire.MeetReply) {
	if !r.cfg.Found || r.choice.fixed || r.group != nil {
		return
	}
	named := 0
	for _, reply := range replies {
		if !slices.Contains(r.seeds, reply.GetAddress()) {
			continue
		}
		if !reply.GetRelay() {
			return // a seed with a disk founds
		}
		if reply.GetFixed() {
			r.choice.founder, r.choice.fixed = reply.GetFounder(), true
			return
		}
		if r.choice.founder != nil && reply.GetFounder().GetFolder() == r.choice.founder.GetFolder() {
			named++
		}
	}
	if r.choice.founder != nil && slices.Contains(r.seeds, r.cfg.Address) && named == len(r.seeds)-1 {
		r.choice.fixed = true
		event.FounderChosen.Log(context.Background(), r.log, slog.String("host", r.choice.founder.GetId()), slog.String("address", r.choice.founder.GetAddress()))
		return
	}
	r.choice.lower(r.cfg.Now())
}
