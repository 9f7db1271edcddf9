package lease

import (
	"time"

	"skylarklane.example/lib/wire"
)

// session is what an agent keeps of one incarnation of an entry. It may end
// and be alive again; its ends and their numbers stay.
type session struct {
	entry *wire.Incarnation
	alive bool
	// until is the reading of the agent's clock at which it ends.
	until time.Duration
	// renewedAt is when the last call came that renewed it.
	renewedAt time.Duration
	records   map[runKey]*record
	ends      []*wire.RunEnd
	// wake is closed, and made anew, with each end.
	wake chan struct{}
	// replaced is set once another incarnation of the entry has taken over.
	replaced bool
	// seenEnd is the newest end that the entry has seen.
	seenEnd uint64
}

// sessionKey names an incarnation of an entry.
type sessionKey struct {
	id     string
	number uint64
}

func keyOfEntry(entry *wire.Incarnation) sessionKey {
	return sessionKey{entry.GetId(), entry.GetNumber()}
}

// record is the agent's answer to a launch, kept so that it stays the same.
type record struct {
	accepted bool
	reason   string
	// seenAt is when the entry took in the end, 0 before.
	seenAt time.Duration
	// end is the number of the run's end, 0 before.
	end uint64
}

func newSession(entry *wire.Incarnation) *session {
	return &session{
		entry:   entry,
		records: map[runKey]*record{},
		wake:    make(chan struct{}),
	}
}

// addEnd keeps an end until the entry has seen it.
func (s *session) addEnd(number uint64, key runKey, how wire.RunHow, reason string, ran time.Duration) *wire.RunEnd {
	end := &wire.RunEnd{
		Number:    number,
		Run:       key.wire(),
		How:       how,
		Reason:    reason,
		RunMillis: ran.Milliseconds(),
	}
	s.ends = append(s.ends, end)
	if rec := s.records[key]; rec != nil {
		rec.end = number
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return end
}

// seen forgets the ends up to number.
func (s *session) seen(number uint64, now time.Duration) {
	s.seenEnd = max(s.seenEnd, number)
	n := 0
	for n < len(s.ends) && s.ends[n].GetNumber() <= number {
		if rec := s.records[keyOf(s.ends[n].GetRun())]; rec != nil {
			rec.seenAt = now
		}
		n++
	}
	s.ends = s.ends[n:]
}

// forget drops the records whose launches can't arrive in time any more.
func (s *session) forget(before time.Duration) {
	for key, rec := range s.records {
		if rec.seenAt > 0 && rec.seenAt < before {
			delete(s.records, key)
		}
	}
}
