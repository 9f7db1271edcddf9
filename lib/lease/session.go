package lease

import (
	"time"

	"skylarklane.example/lib/wire"
)

// session is the agent's state for one incarnation of an entry. An expired
// session may be opened again; its unacknowledged ends are kept meanwhile.
type session struct {
	entry *wire.Incarnation
	alive bool
	// until is the reading of the agent's clock at which the session ends.
	until time.Duration
	// renewedAt is when the last call that renewed it arrived.
	renewedAt time.Duration
	records   map[runKey]*launchRecord
	// ends holds the ends that the entry has not acknowledged.
	ends []*wire.RunEnd
	// wake is closed and replaced whenever an end is added.
	wake chan struct{}
	// replaced is set once the session of another incarnation of the entry has
	// replaced this one.
	replaced bool
	// ackedEnd is the newest end that the entry has acknowledged.
	ackedEnd uint64
	// claims holds the claims to jobs that have runs here, by the ids of the jobs.
	claims map[string]*claim
}

// sessionKey identifies an incarnation of an entry.
type sessionKey struct {
	id     string
	number uint64
}

func keyOfEntry(entry *wire.Incarnation) sessionKey {
	return sessionKey{entry.GetId(), entry.GetNumber()}
}

// launchRecord is the agent's answer to a launch, kept so that repeated calls
// get the same answer.
type launchRecord struct {
	accepted bool
	// queued is set if the run had to wait for capacity.
	queued bool
	reason string
	// resolvedAt is when the launch was refused or the entry acknowledged the
	// end of the run; 0 before. The record is evicted some time after it.
	resolvedAt time.Duration
	// end is the number of the run's end; 0 before it has ended.
	end uint64
}

func newSession(entry *wire.Incarnation) *session {
	return &session{
		entry:   entry,
		records: map[runKey]*launchRecord{},
		claims:  map[string]*claim{},
		wake:    make(chan struct{}),
	}
}

// addEnd adds an end, which stays until the entry has acknowledged it.
func (s *session) addEnd(number uint64, key runKey, how wire.RunHow, reason string, runTime time.Duration) *wire.RunEnd {
	end := &wire.RunEnd{
		Number:    number,
		Run:       key.wire(),
		How:       how,
		Reason:    reason,
		RunMillis: runTime.Milliseconds(),
	}
	s.ends = append(s.ends, end)
	if rec := s.records[key]; rec != nil {
		rec.end = number
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return end
}

// ackEnds drops the ends up to number, which the entry has acknowledged.
func (s *session) ackEnds(number uint64, now time.Duration) {
	s.ackedEnd = max(s.ackedEnd, number)
	n := 0
	for n < len(s.ends) && s.ends[n].GetNumber() <= number {
		if rec := s.records[keyOf(s.ends[n].GetRun())]; rec != nil {
			rec.resolvedAt = now
		}
		n++
	}
	s.ends = s.ends[n:]
}

// evict drops the launch records that were resolved earlier than before: a copy
// of their launch can't arrive in time any more.
func (s *session) evict(before time.Duration) {
	for key, rec := range s.records {
		if rec.resolvedAt > 0 && rec.resolvedAt < before {
			delete(s.records, key)
		}
	}
}
