package ledger

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// TestHoldsBesideRetiredIncarnation guards against two entries that hold one key:
// one at an agent's new incarnation, and one that is cut off at the former one,
// which the join of the new one retires while it still has a lease.
func TestHoldsBesideRetiredIncarnation(t *testing.T) {
	tests := []struct {
		name string
		// after is how long after the join the keys are held, within the lease of the
		// former incarnation.
		after time.Duration
		// ahead is how far the clock of the callers is ahead.
		ahead time.Duration
	}{
		{"lease of 2 s", 1900 * time.Millisecond, 0},
		{"lease of 2 s and a clock ahead", 1900 * time.Millisecond, 4 * time.Second},
		{"lease of 6 s", 5500 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 1)
				c.addMember("a2", wire.Role_ROLE_AGENT)
				c.updateDirectories()
				c.view = &wire.View{Epoch: c.view.GetEpoch(), LostAtMillis: time.Now().UnixMilli()}
				c.publishView("a2", nil, nil, "a2", "e2") // a1 and e1 do not learn of it
				time.Sleep(test.after)
				q := holdRequest("key", 1)
				q.SubmittedAtMillis = time.Now().Add(test.ahead).UnixMilli()
				one, _ := c.clients["e1"].Hold(t.Context(), q)
				two, _ := c.clients["e2"].Hold(t.Context(), q)
				is.True(!one.GetGranted() || !two.GetGranted())
			})
		})
	}
}
