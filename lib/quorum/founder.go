package quorum

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"skylarklane.example/lib/event"
	"skylarklane.example/lib/wire"
)

// candidateWait is how long a relay waits for further candidates after the first
// one before it chooses a founder.
const candidateWait = time.Second

// founderChoice is a relay's part in agreeing on the host that creates the
// group when no seed has a disk. Each relay proposes the candidate with the
// lowest address, and fixes its choice (makes it final) once all seeds propose
// the same host. Until then a choice changes only to a lower address or to one
// that another relay has fixed, so two relays never fix different hosts.
type founderChoice struct {
	candidates       map[string]*wire.LogHost
	firstCandidateAt time.Time
	founder          *wire.LogHost
	fixed            bool
}

// addCandidate adds a host that may create the group.
func (c *founderChoice) addCandidate(q *wire.MeetRequest, now time.Time) {
	if len(c.candidates) == 0 {
		c.firstCandidateAt = now
	}
	if len(c.candidates) < maxKnownAddresses {
		c.candidates[q.GetAddress()] = &wire.LogHost{Id: q.GetId(), Address: q.GetAddress(), Folder: q.GetFolder()}
	}
}

// update chooses the candidate with the lowest address, unless the choice is
// fixed.
func (c *founderChoice) update(now time.Time) {
	if c.fixed || len(c.candidates) == 0 || now.Sub(c.firstCandidateAt) < candidateWait {
		return
	}
	for _, host := range c.candidates {
		if c.founder == nil || host.GetAddress() < c.founder.GetAddress() {
			c.founder = host
		}
	}
}

// updateChoice updates the choice of the founder from the other seeds' replies.
func (r *Relay) updateChoice(replies []*wire.MeetReply) {
	if !r.cfg.Bootstrap || r.founderChoice.fixed || r.group != nil {
		return
	}
	agreeing := 0
	for _, reply := range replies {
		if !slices.Contains(r.seeds, reply.GetAddress()) {
			continue
		}
		if !reply.GetRelay() {
			return // a seed with a disk creates the group
		}
		if reply.GetFixed() {
			r.founderChoice.founder, r.founderChoice.fixed = reply.GetFounder(), true
			return
		}
		if r.founderChoice.founder != nil && reply.GetFounder().GetFolder() == r.founderChoice.founder.GetFolder() {
			agreeing++
		}
	}
	if r.founderChoice.founder != nil && slices.Contains(r.seeds, r.cfg.Address) && agreeing == len(r.seeds)-1 {
		r.founderChoice.fixed = true
		event.FounderChosen.Log(context.Background(), r.log, slog.String("host", r.founderChoice.founder.GetId()), slog.String("address", r.founderChoice.founder.GetAddress()))
		return
	}
	r.founderChoice.update(r.cfg.Now())
}
