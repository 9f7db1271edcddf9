package ledger

import (
	"encoding/binary"
	"encoding/hex"
	"hash/fnv"
	"strings"
	"time"
)

// MaxClockSkew is how far the clocks of callers and hosts may lie apart for a
// stamp to prove anything.
const MaxClockSkew = 5 * time.Second

// Shard returns the shard of a key among n shards.
func Shard(key string, n int) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return h.Sum32() % uint32(n)
}

// Stamp returns when a submission was made, in Unix milliseconds: the earlier
// of what the caller said and what its key says, where that is a UUID of
// version 7. It is 0 where neither tells.
func Stamp(key string, submittedAtMillis int64) int64 {
	made, ok := uuidMillis(key)
	switch {
	case !ok:
		return submittedAtMillis
	case submittedAtMillis == 0:
		return made
	}
	return min(made, submittedAtMillis)
}

// uuidMillis returns the time in a UUID of version 7.
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

// mayBeForgotten tells whether a submission is so old that its key may have
// been kept and forgotten.
func mayBeForgotten(stamp int64, retention time.Duration, now time.Time) bool {
	return stamp != 0 && stamp < now.Add(-retention).UnixMilli()
}

// mayBeLost tells whether a key may have been in a shard before it lost all
// its members. Submissions that are provably younger were
// not; a stamp in the future proves nothing.
func mayBeLost(stamp, lostAtMillis int64, retention time.Duration, now time.Time) bool {
	if lostAtMillis == 0 || now.UnixMilli() > lostAtMillis+(retention+2*MaxClockSkew).Milliseconds() {
		return false
	}
	early := stamp <= lostAtMillis+MaxClockSkew.Milliseconds()
	late := stamp > now.Add(MaxClockSkew).UnixMilli()
	return stamp == 0 || early || late
}
