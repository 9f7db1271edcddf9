package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"strings"
	"time"
)

// MaxClockSkew is the maximum difference between the clocks of callers and
// hosts for which submission times are relied upon.
const MaxClockSkew = 5 * time.Second

// ShardOf returns the number of the shard of a key, out of n shards.
func ShardOf(key string, n int) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return h.Sum32() % uint32(n)
}

// SubmissionTime returns when a submission was made, in Unix milliseconds: the
// earlier of the time given by the caller and the time in its key, if that is
// a UUID of version 7. It is 0 if neither is known.
func SubmissionTime(key string, submittedAtMillis int64) int64 {
	uuidTime, ok := uuidMillis(key)
	switch {
	case !ok:
		return submittedAtMillis
	case submittedAtMillis == 0:
		return uuidTime
	}
	return min(uuidTime, submittedAtMillis)
}

// uuidMillis returns the time in a UUID of version 7, and false for other
// keys.
func uuidMillis(key string) (int64, bool) {
	const textLength, versionAt, variantAt = 36, 14, 19
	if len(key) != textLength || key[versionAt] != '7' || !strings.ContainsRune("89abAB", rune(key[variantAt])) {
		return 0, false
	}
	for _, n := range []int{8, 13, 18, 23} {
		if key[n] != '-' {
			return 0, false
		}
	}
	b, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil {
		return 0, false
	}
	return int64(binary.BigEndian.Uint64(append([]byte{0, 0}, b[:6]...))), true
}

// mayHaveExpired reports whether a submission is so old that a record of its
// key may have existed and expired.
func mayHaveExpired(submittedAt int64, retention time.Duration, now time.Time) bool {
	return submittedAt != 0 && submittedAt < now.Add(-retention).UnixMilli()
}

// mayHaveBeenLost reports whether a record of a key may have existed in a shard
// before the shard lost all its replicas. Only a submission time after the loss
// rules that out, and only if it is not in the future, which shows that the
// caller's clock is wrong. Long enough after the loss, such a record would have
// expired.
func mayHaveBeenLost(submittedAt, lostAtMillis int64, retention time.Duration, now time.Time) bool {
	if lostAtMillis == 0 || now.UnixMilli() > lostAtMillis+(retention+2*MaxClockSkew).Milliseconds() {
		return false
	}
	beforeLoss := submittedAt <= lostAtMillis+MaxClockSkew.Milliseconds()
	inFuture := submittedAt > now.Add(MaxClockSkew).UnixMilli()
	return submittedAt == 0 || beforeLoss || inFuture
}
