package entry

import (
	"math"
	"time"

	"skylarklane.example/lib/wire"
)

const (
	// classes is the number of speed classes of backend servers.
	classes = 64
	// classesPerLog is the number of speed classes for an increase of 1 in the
	// natural logarithm of the run time factor.
	classesPerLog = 12
)

// held is a token that this entry holds.
type held struct {
	token  *wire.Token
	server *server
	// until is when the entry stops using the token unless it is renewed.
	until time.Time
	// gone is set once the token is discarded; the pool then skips it.
	gone bool
	idle bool
}

// pool holds the idle tokens of one service, by the speed class of their server.
// Tokens that were discarded or have expired are removed from its lists when
// they are met.
type pool struct {
	classes [classes][]*held
	// suspended are the tokens of servers that are ejected or whose agent is
	// suspect.
	suspended []*held
	// held counts all tokens, idle or in use.
	held int
	idle int
}

// put adds an idle token.
func (p *pool) put(h *held) {
	h.idle = true
	p.idle++
	if h.server.health.Ejected() {
		p.suspended = append(p.suspended, h)
		return
	}
	n := classOf(h.server)
	p.classes[n] = append(p.classes[n], h)
}

// take removes and returns the token of the fastest available server; nil if
// there is none. A suspended token whose server may be tried is preferred,
// except for urgent tasks, which get it only if no other token is idle.
func (p *pool) take(now time.Time, urgency wire.Urgency) *held {
	if urgency < wire.Urgency_URGENCY_URGENT {
		if h := p.takeTrial(now); h != nil {
			return h
		}
	}
	if h := p.takeFastest(now); h != nil {
		return h
	}
	return p.takeTrial(now)
}

// takeFastest removes and returns a token of the fastest available server; nil
// if there is none.
func (p *pool) takeFastest(now time.Time) *held {
	for n := range p.classes {
		for len(p.classes[n]) > 0 {
			h := pop(&p.classes[n])
			switch {
			case h.gone:
				continue
			case now.After(h.until):
				p.discard(h)
				continue
			case !h.server.available(now):
				p.suspended = append(p.suspended, h)
				continue
			}
			h.idle = false
			p.idle--
			return h
		}
	}
	return nil
}

// takeTrial removes and returns a suspended token whose server may be tried; nil
// if there is none.
func (p *pool) takeTrial(now time.Time) *held {
	for n, h := range p.suspended {
		if h.gone || !h.server.mayTry(now) {
			continue
		}
		p.suspended = append(p.suspended[:n], p.suspended[n+1:]...)
		if now.After(h.until) {
			p.discard(h)
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

// usable returns the number of idle tokens that are not suspended.
func (p *pool) usable() int {
	suspended := 0
	for _, h := range p.suspended {
		if !h.gone {
			suspended++
		}
	}
	return p.idle - suspended
}

// discard marks a token as gone. The token stays in the pool's lists until a
// later call removes it.
func (p *pool) discard(h *held) {
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

// restoreSuspended makes the suspended tokens of servers that are available
// again usable.
func (p *pool) restoreSuspended(now time.Time) {
	suspended := p.suspended
	p.suspended = nil
	for _, h := range suspended {
		switch {
		case h.gone:
		case h.server.available(now):
			p.idle--
			p.put(h)
		default:
			p.suspended = append(p.suspended, h)
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

// classOf returns the speed class of a server; 0 is the fastest.
func classOf(s *server) int {
	n := classes/2 + int(math.Round(s.speed.Log*classesPerLog))
	return min(max(n, 0), classes-1)
}
