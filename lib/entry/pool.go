package entry

import (
	"math"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// classes of worker speed, each a twelfth faster than the next.
	classes       = 64
	classesPerLog = 12
)

// held is a token that this entry has.
type held struct {
	token  *wire.Token
	server *server
	// until is when the entry stops using it, unless it is renewed.
	until time.Time
	// gone tokens are void: they are skipped where they are met.
	gone bool
	idle bool
}

// pool holds the idle tokens of one service by the speed of their workers.
type pool struct {
	classes [classes][]*held
	// parked tokens belong to ejected servers.
	parked []*held
	// held tokens, in use or not.
	held int
	idle int
}

// put adds an idle token.
func (p *pool) put(h *held) {
	h.idle = true
	p.idle++
	if h.server.health.Ejected() {
		p.parked = append(p.parked, h)
		return
	}
	n := classOf(h.server)
	p.classes[n] = append(p.classes[n], h)
}

// take removes the token with the fastest worker; nil where there is none. A
// server on trial gets urgent tasks only where nothing else is idle.
func (p *pool) take(now time.Time, urgency wire.Urgency) *held {
	if urgency < wire.Urgency_URGENCY_URGENT {
		if h := p.trial(now); h != nil {
			return h
		}
	}
	if h := p.fastest(now); h != nil {
		return h
	}
	return p.trial(now)
}

// fastest removes the token with the fastest worker that is not ejected.
func (p *pool) fastest(now time.Time) *held {
	for n := range p.classes {
		for len(p.classes[n]) > 0 {
			h := pop(&p.classes[n])
			switch {
			case h.gone:
				continue
			case now.After(h.until):
				p.void(h)
				continue
			case !h.server.works(now):
				p.parked = append(p.parked, h)
				continue
			}
			h.idle = false
			p.idle--
			return h
		}
	}
	return nil
}

// trial removes the token of an ejected server that may be tried again.
func (p *pool) trial(now time.Time) *held {
	for n, h := range p.parked {
		if h.gone || !h.server.mayTry(now) {
			continue
		}
		p.parked = append(p.parked[:n], p.parked[n+1:]...)
		if now.After(h.until) {
			p.void(h)
			return nil
		}
		if h.server.health.Ejected() {
			h.server.health = h.server.health.WithTrial(now)
		}
		h.idle = false
		p.idle--
		return h
	}
	return nil
}

// usable returns the number of idle tokens of servers that get work.
func (p *pool) usable() int {
	parked := 0
	for _, h := range p.parked {
		if !h.gone {
			parked++
		}
	}
	return p.idle - parked
}

// void marks a token as gone, wherever it is.
func (p *pool) void(h *held) {
	if h.gone {
		return
	}
	h.gone = true
	p.held--
	if h.idle {
		p.idle--
	}
	h.idle = false
	delete(h.server.agent.tokens, h.token.GetNumber())
}

// sweep brings the parked tokens back whose servers work again.
func (p *pool) sweep(now time.Time) {
	parked := p.parked
	p.parked = nil
	for _, h := range parked {
		switch {
		case h.gone:
		case h.server.works(now):
			p.idle--
			p.put(h)
		default:
			p.parked = append(p.parked, h)
		}
	}
}

func pop(list *[]*held) *held {
	last := len(*list) - 1
	h := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return h
}

// classOf returns the speed class of a server, the fastest first.
func classOf(s *server) int {
	n := classes/2 + int(math.Round(s.speed.Log*classesPerLog))
	return min(max(n, 0), classes-1)
}
