package admission

import "time"

const (
	// BriefDelay is the delay after a refusal without a backlog, such as that of
	// an entry that leaves. With its spread it is at most one second, the least
	// that a Retry-After header can state.
	BriefDelay = 500 * time.Millisecond
	// MinRetryAfter and MaxRetryAfter bound the delay after any refusal.
	MinRetryAfter = 100 * time.Millisecond
	MaxRetryAfter = 10 * time.Second
)

// Retry is what the time of a retry depends on.
type Retry struct {
	// Backlog is the expected time until the work that waits now is done, or a
	// fixed delay if the refusal has no backlog.
	Backlog time.Duration
	// Limit is the time left until a retry can no longer be served, such as that
	// until the job's deadline less its run time; 0 if it is unknown.
	Limit time.Duration
}

// After returns the time after which the caller should submit its job again. It
// lies between the backlog and twice the backlog, at the place that spread, from
// 0 to 1, selects: callers that were refused together return one by one.
//
// Neither bound moves callers to the same time: the interval begins at half of
// its end at the latest. A limit of more than a second counts in whole seconds,
// so that Seconds does not exceed it. If no retry can be served any more, there is
// no reason to hurry one, and the limit has no effect.
func (r Retry) After(spread float64) time.Duration {
	first := min(max(r.Backlog, MinRetryAfter), MaxRetryAfter)
	last := min(2*first, MaxRetryAfter)
	if limit := r.Limit; limit >= MinRetryAfter {
		if limit > time.Second {
			limit = limit.Truncate(time.Second)
		}
		last = min(last, limit)
	}
	first = min(first, last/2)
	return max(first+time.Duration(spread*float64(last-first)), MinRetryAfter)
}

// Brief returns the delay after a refusal without a backlog.
func Brief(spread float64) time.Duration { return Retry{Backlog: BriefDelay}.After(spread) }

// Seconds returns a delay as the value of a Retry-After header, which has whole
// seconds: rounded up, so that callers don't return before the backlog is
// processed.
func Seconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }
