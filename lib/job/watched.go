package job

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"skylarklane.example/lib/placement"
)

const (
	// demandRetention is how long after its last job a service counts as busy.
	demandRetention = 3 * time.Second
	// neededRetention is how long an agent is watched beyond the usual number.
	neededRetention = 5 * time.Second
	// watchMoreInterval is the time between two increases of the number of watched
	// agents of a service, in which those of the last one answer.
	watchMoreInterval = 20 * time.Millisecond
	// watchMoreStep is the number of agents of one increase.
	watchMoreStep = 16
	// firstLookDelay bounds the delay of the first Watch to an agent that is not
	// watched.
	firstLookDelay = 500 * time.Millisecond
)

// watchLimits bound the agents that an entry watches.
var watchLimits = placement.WatchLimits{All: 72, Busy: 24, Idle: 8, Pressed: 96}

// rankOf returns the preference of an entry for watching an agent. Entries
// prefer different agents.
func rankOf(entry, agent string) uint64 {
	sum := sha256.Sum256([]byte(entry + "\x00" + agent))
	return binary.BigEndian.Uint64(sum[:])
}

// isWatched reports whether the agent is watched.
func (d *Dispatcher) isWatched(l *link) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.watched
}

// watchesPart reports whether the fleet is so large that only a part of the agents is
// watched.
func (d *Dispatcher) watchesPart() bool { return len(d.links) > watchLimits.All }

// updateWatched decides which agents are watched.
func (d *Dispatcher) updateWatched(now time.Duration) {
	agents := make([]placement.Watchable, len(d.ranked))
	for i, l := range d.ranked {
		agents[i] = placement.Watchable{Service: l.reported.GetService(), Usable: l.isUsable(now), Excluded: l.evacuated, Required: l.mustBeWatched(now)}
	}
	watched := placement.WatchSet(agents, watchLimits, func(service string) bool {
		at, had := d.demandAt[service]
		return had && now-at <= demandRetention
	})
	n := 0
	for i, l := range d.ranked {
		l.setWatched(watched[i], now)
		if l.watched {
			n++
		}
	}
	d.metrics.watched.Update(float64(n))
}

// rankLinks returns the links in the order in which agents are preferred.
func rankLinks(links map[string]*link) []*link {
	return slices.SortedFunc(maps.Values(links), func(a, b *link) int { return cmp.Compare(a.rank, b.rank) })
}

// isPresent reports whether the agent answered the last Watch in time.
func (l *link) isPresent(now time.Duration) bool {
	if l.watched {
		return !l.isSilent(now)
	}
	return !l.failing
}

// isUsable reports whether the worker took runs when the agent last answered,
// and the agent is neither silent nor leaving nor evacuated.
func (l *link) isUsable(now time.Duration) bool {
	silent := l.failing || l.watched && now-l.watchedAt > silentAfter && l.isSilent(now)
	return l.hasState() && !l.unlisted && !l.evacuated && !l.member.GetLeaving() && l.reported.GetAccepting() && !silent
}

// mustBeWatched reports whether the agent is watched whatever its rank: it has,
// or may have, runs of this entry, or the other agents had no room. The agents
// may have runs of any durable job.
func (l *link) mustBeWatched(now time.Duration) bool {
	return l.d.durableJobs != nil || len(l.runs)+len(l.orphans)+len(l.unstored) > 0 || !l.evacuated && now < l.neededUntil
}

// setWatched begins or ends to watch the agent.
func (l *link) setWatched(watched bool, now time.Duration) {
	if watched && !l.watched {
		l.watchedAt = now
		l.wake()
	}
	l.watched = watched
}

// watchMore watches further agents whose worker suits the requirements, up to
// limit in all, because none of those watched can run the task now.
func (d *Dispatcher) watchMore(service string, r placement.Requirements, limit int, now time.Duration) {
	if !d.watchesPart() || now-d.neededAt[service] < watchMoreInterval {
		return
	}
	d.neededAt[service] = now
	watched := 0
	var others []*link
	for _, l := range d.ranked {
		if l.reported.GetService() != service || !l.isUsable(now) || !r.Suits(l.shape()) {
			continue
		}
		if !l.watched {
			others = append(others, l)
			continue
		}
		watched++
		if now < l.neededUntil {
			l.neededUntil = now + neededRetention
		}
	}
	for _, l := range others[:min(len(others), watchMoreStep, max(limit-watched, 0))] {
		l.neededUntil = now + neededRetention
		l.setWatched(true, now)
	}
}
