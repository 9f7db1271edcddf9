package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

const (
	complete = wire.OutcomeKind_OUTCOME_KIND_COMPLETE
	failed   = wire.OutcomeKind_OUTCOME_KIND_FAILED
	notRun   = wire.OutcomeKind_OUTCOME_KIND_NOT_RUN
)

func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		var granted atomic.Int64
		var group sync.WaitGroup
		for _, entry := range []string{"e1", "e2"} {
			group.Go(func() {
				reply, err := c.clients[entry].Hold(t.Context(), holdRequest("key", 1))
				is.NoErr(err)
				is.Equal(reply.GetRecord().GetState(), wire.KeyState_KEY_STATE_HELD)
				if reply.GetGranted() {
					granted.Add(1)
				}
			})
		}
		group.Wait()
		is.Equal(granted.Load(), int64(1))
		for _, replica := range c.replicas {
			is.True(replica.shard(0).records["key"].inUse())
		}
	})
}

func TestContentConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		_, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
		is.NoErr(err)
		q := holdRequest("key", 1)
		q.Digest = digestOf("other")
		reply, err := c.clients["e2"].Hold(t.Context(), q)
		is.NoErr(err)
		is.Equal(reply.GetError(), wire.LedgerError_LEDGER_ERROR_CONFLICT)
	})
}

// TestWriteNeedsAllMembers checks that a write waits for every member, that an
// unresponsive member is reported, and that the write succeeds in a view
// without that member.
func TestWriteNeedsAllMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.network.setCut("a1", "a3", true)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := c.clients["e1"].Hold(ctx, holdRequest("key", 1))
		var inDoubt *Error
		is.True(errors.As(err, &inDoubt))
		is.Equal(inDoubt.Kind, KindInDoubt)
		silent := c.reported()[0].GetSilent()
		is.Equal(silent.GetMember().GetId(), "a3")
		is.Equal(silent.GetEpoch(), uint64(1))

		c.publishView("a1", []string{"a2"}, nil)
		reply, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
		is.NoErr(err)
		is.True(reply.GetGranted())
	})
}

// TestReplacedPrimary checks that a primary that missed the view that replaced
// it can neither write nor answer reads, because a member that belongs to both
// views refuses its requests.
func TestReplacedPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		_, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
		is.NoErr(err)
		c.publishView("a2", []string{"a3"}, nil, "a2", "a3", "e1")
		_, err = c.clients["e1"].Finish(t.Context(), finishRequest("key", 1, complete))
		is.NoErr(err)

		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = c.clients["e2"].Look(ctx, "key")
		is.True(err != nil) // the replaced primary must not return its outdated record
		_, err = c.clients["e2"].Hold(ctx, holdRequest("other", 1))
		is.True(err != nil)
		c.updateDirectories()
		reply, err := c.clients["e2"].Look(t.Context(), "key")
		is.NoErr(err)
		is.Equal(reply.GetRecord().GetState(), wire.KeyState_KEY_STATE_FINISHED)
	})
}

// TestNewPrimaryConfirmsRecords checks that a new primary replicates a record
// that the other members lack before it returns the record.
func TestNewPrimaryConfirmsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.network.setCut("a1", "a3", true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.clients["e1"].Hold(ctx, holdRequest("key", 1))
		is.True(err != nil)
		c.publishView("a2", []string{"a3"}, nil)
		is.True(c.replicas["a3"].shard(0).records["key"] == nil)
		reply, err := c.clients["e2"].Look(t.Context(), "key")
		is.NoErr(err)
		is.Equal(reply.GetRecord().GetHolder().GetId(), "e1")
		is.True(c.replicas["a3"].shard(0).records["key"].inUse())
	})
}

func TestExpiredLease(t *testing.T) {
	for _, id := range []string{"a1", "a2"} {
		t.Run(id, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 3)
				c.followers[id].setLeaseExpired(true)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := c.clients["e1"].Hold(ctx, holdRequest("key", 1))
				is.True(err != nil)
				c.followers[id].setLeaseExpired(false)
				reply, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
				is.NoErr(err)
				is.True(reply.GetGranted())
			})
		})
	}
}

// TestJoinDuringWrites checks that a joining member ends up with the records
// from before it joined and with those written during the copy.
func TestJoinDuringWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.publishView("a1", []string{"a2"}, nil)
		const n = 3 * copyPageRecords
		for i := range n {
			_, err := c.clients["e1"].Hold(t.Context(), holdRequest(fmt.Sprint("before", i), 1))
			is.NoErr(err)
		}
		c.publishView("a1", []string{"a2"}, []string{"a3"})
		ctx, cancel := context.WithCancel(t.Context())
		go c.replicas["a3"].copyLoop(ctx)
		_, err := c.clients["e1"].Hold(t.Context(), holdRequest("while", 1))
		is.NoErr(err)
		for len(c.reported()) == 0 {
			time.Sleep(time.Millisecond)
		}
		is.Equal(c.reported()[0].GetCopied().GetEpoch(), uint64(3))
		cancel()
		c.publishView("a3", nil, nil)
		for _, key := range []string{"before0", fmt.Sprint("before", n-1), "while"} {
			reply, err := c.clients["e2"].Look(t.Context(), key)
			is.NoErr(err)
			is.Equal(reply.GetRecord().GetState(), wire.KeyState_KEY_STATE_HELD)
		}
	})
}

// TestCopyRejectsOldEpoch checks that a copy that began in an older epoch is
// refused.
func TestCopyRejectsOldEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		c.publishView("a1", []string{"a2"}, []string{"a3"})
		reply, err := c.replicas["a1"].Copy(t.Context(), &wire.CopyRequest{Epoch: 1})
		is.NoErr(err)
		is.Equal(reply.GetError(), wire.LedgerError_LEDGER_ERROR_STALE_VIEW)
	})
}

// TestRemovedMemberDropsRecords checks that a member that was removed from the
// view drops its records.
func TestRemovedMemberDropsRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		_, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
		is.NoErr(err)
		c.publishView("a1", []string{"a2"}, nil)
		c.replicas["a3"].copyAll(t.Context())
		is.Equal(len(c.replicas["a3"].shard(0).records), 0)
	})
}

// TestLateRequests checks that a delayed request of an ended job changes
// nothing, neither while the key is free nor while the next job holds it.
func TestLateRequests(t *testing.T) {
	tests := []struct {
		name string
		late func(c *cluster) error
	}{
		{"hold", func(c *cluster) error {
			_, err := c.clients["e1"].Hold(c.t.Context(), holdRequest("key", 1))
			return err
		}},
		{"release", func(c *cluster) error {
			_, err := c.clients["e1"].Finish(c.t.Context(), finishRequest("key", 1, notRun))
			return err
		}},
		{"finish", func(c *cluster) error {
			_, err := c.clients["e1"].Finish(c.t.Context(), finishRequest("key", 1, complete))
			return err
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 3)
				_, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
				is.NoErr(err)
				reply, err := c.clients["e1"].Finish(t.Context(), finishRequest("key", 1, notRun))
				is.NoErr(err)
				is.Equal(reply.GetRecord().GetState(), wire.KeyState_KEY_STATE_RELEASED)
				is.NoErr(test.late(c)) // while the key is free
				look, err := c.clients["e2"].Look(t.Context(), "key")
				is.NoErr(err)
				is.True(look.GetRecord() == nil)
				hold, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 2))
				is.NoErr(err)
				is.True(hold.GetGranted())
				is.NoErr(test.late(c)) // while the next job runs
				look, err = c.clients["e2"].Look(t.Context(), "key")
				is.NoErr(err)
				is.Equal(look.GetRecord().GetState(), wire.KeyState_KEY_STATE_HELD)
				is.Equal(look.GetRecord().GetClaim(), uint64(2))
			})
		})
	}
}

// TestLateHoldAfterRelease checks that a delayed hold is not granted after two
// entries have released the key, whichever of them sent it.
func TestLateHoldAfterRelease(t *testing.T) {
	for _, late := range []string{"e1", "e2"} {
		t.Run(late, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 3)
				for _, entry := range []string{"e1", "e2"} {
					hold, err := c.clients[entry].Hold(t.Context(), holdRequest("key", 1))
					is.NoErr(err)
					is.True(hold.GetGranted())
					reply, err := c.clients[entry].Finish(t.Context(), finishRequest("key", 1, notRun))
					is.NoErr(err)
					is.Equal(reply.GetRecord().GetState(), wire.KeyState_KEY_STATE_RELEASED)
				}
				hold, err := c.clients[late].Hold(t.Context(), holdRequest("key", 1))
				is.NoErr(err)
				is.True(!hold.GetGranted())
				look, err := c.clients["e1"].Look(t.Context(), "key")
				is.NoErr(err)
				is.True(look.GetRecord() == nil) // the key stays free
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name       string
		lasting    bool
		idempotent bool
		granted    bool
	}{
		{"lasting refusal, kind not idempotent", true, false, false},
		{"lasting refusal, kind idempotent", true, true, true},
		{"temporary refusal, kind idempotent", false, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 3)
				q := finishRequest("key", 1, notRun)
				q.Lasting = test.lasting
				reply, err := c.clients["e1"].Finish(t.Context(), q)
				is.NoErr(err)
				is.Equal(reply.GetRecord().GetOutcome().GetKind(), notRun)
				late := holdRequest("key", 1)
				late.Idempotent = test.idempotent
				hold, err := c.clients["e2"].Hold(t.Context(), late)
				is.NoErr(err)
				is.Equal(hold.GetGranted(), test.granted)
			})
		})
	}
}

// TestRefusalOfHeldKey checks that a refusal does not replace a held key.
func TestRefusalOfHeldKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		_, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
		is.NoErr(err)
		reply, err := c.clients["e2"].Finish(t.Context(), finishRequest("key", 1, notRun))
		is.NoErr(err)
		is.Equal(reply.GetRecord().GetState(), wire.KeyState_KEY_STATE_HELD)
		is.Equal(reply.GetRecord().GetHolder().GetId(), "e1")
	})
}

func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		_, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
		is.NoErr(err)
		reply, err := c.clients["e2"].Takeover(t.Context(), "key", 1)
		is.NoErr(err)
		is.Equal(reply.GetError(), wire.LedgerError_LEDGER_ERROR_NOT_HOLDER) // e1 is alive
		c.dead = append(c.dead, c.incarnationOf("e1"))
		c.updateDirectories()
		reply, err = c.clients["e2"].Takeover(t.Context(), "key", 1)
		is.NoErr(err)
		is.True(reply.GetGranted())
		is.Equal(len(reply.GetRecord().GetFormer()), 1)
		is.Equal(len(reply.GetRecord().GetSpec().GetPayloads()), 1)
		finish, err := c.clients["e1"].Finish(t.Context(), finishRequest("key", 1, complete))
		is.NoErr(err)
		is.Equal(finish.GetRecord().GetHolder().GetId(), "e2") // e1 resumes after the takeover
		is.Equal(finish.GetRecord().GetState(), wire.KeyState_KEY_STATE_HELD)
	})
}

// TestTotalLoss reassigns a shard that lost all its replicas to another agent,
// and checks which submissions the empty shard accepts, by submission time.
func TestTotalLoss(t *testing.T) {
	tests := []struct {
		name        string
		key         string
		submittedAt func(lost time.Time) int64
		granted     bool
	}{
		{"no submission time", "key", func(time.Time) int64 { return 0 }, false},
		{"before the loss", "key", func(lost time.Time) int64 { return lost.Add(-time.Minute).UnixMilli() }, false},
		{"after the loss, within the clock skew", "key", func(lost time.Time) int64 { return lost.Add(time.Second).UnixMilli() }, false},
		{"in the future", "key", func(lost time.Time) int64 { return lost.Add(time.Hour).UnixMilli() }, false},
		{"after the loss", "key", func(lost time.Time) int64 { return lost.Add(time.Minute).UnixMilli() }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 4)
				lost := time.Now()
				c.view.LostAtMillis = lost.UnixMilli()
				c.publishView("a4", nil, nil)
				time.Sleep(2 * time.Minute)
				q := holdRequest(test.key, 1)
				q.SubmittedAtMillis = test.submittedAt(lost)
				reply, err := c.clients["e1"].Hold(t.Context(), q)
				is.NoErr(err)
				is.Equal(reply.GetGranted(), test.granted)
				if !test.granted {
					is.Equal(reply.GetRecord().GetOutcome().GetReason(), reasonUnknownOutcome)
				}
			})
		})
	}
}

// TestFinishAfterTotalLoss checks that the outcome of a job that held its key
// before the loss is accepted, unless the submission was repeated in between and
// got an unknown outcome.
func TestFinishAfterTotalLoss(t *testing.T) {
	tests := []struct {
		name        string
		resubmitted bool
		kind        wire.OutcomeKind
	}{
		{"submitted once", false, complete},
		{"submitted again after the loss", true, failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := newCluster(t, 4)
				hold, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
				is.NoErr(err)
				c.view.LostAtMillis = time.Now().UnixMilli()
				c.publishView("a4", nil, nil)
				if test.resubmitted {
					_, err := c.clients["e2"].Hold(t.Context(), holdRequest("key", 1))
					is.NoErr(err)
				}
				q := finishRequest("key", 1, complete)
				q.HeldAtMillis = hold.GetRecord().GetHeldAtMillis()
				reply, err := c.clients["e1"].Finish(t.Context(), q)
				is.NoErr(err)
				is.Equal(reply.GetRecord().GetOutcome().GetKind(), test.kind)
			})
		})
	}
}

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		submittedAt := time.Now().UnixMilli()
		q := holdRequest("key", 1)
		q.SubmittedAtMillis = submittedAt
		_, err := c.clients["e1"].Hold(t.Context(), q)
		is.NoErr(err)
		_, err = c.clients["e1"].Finish(t.Context(), finishRequest("key", 1, complete))
		is.NoErr(err)
		time.Sleep(time.Hour)
		c.replicas["a1"].sweep(time.Now())
		reply, err := c.clients["e2"].Hold(t.Context(), q)
		is.NoErr(err)
		is.Equal(reply.GetRecord().GetOutcome().GetKind(), complete) // not yet expired
		time.Sleep(time.Minute)
		for _, replica := range c.replicas {
			replica.sweep(time.Now())
		}
		look, err := c.clients["e2"].Look(t.Context(), "key")
		is.NoErr(err)
		is.True(look.GetRecord() == nil)
		reply, err = c.clients["e2"].Hold(t.Context(), q)
		is.NoErr(err)
		is.Equal(reply.GetError(), wire.LedgerError_LEDGER_ERROR_UNKNOWN_OUTCOME) // it may have run
	})
}

// TestAdoptableKeys checks that the primary lists the key of a dead entry for
// adoption by another entry.
func TestAdoptableKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 3)
		_, err := c.clients["e1"].Hold(t.Context(), holdRequest("key", 1))
		is.NoErr(err)
		directory := c.followers["a1"].Directory()
		is.Equal(len(c.replicas["a1"].adoptable(c.replicas["a1"].shard(0), directory)), 0)
		c.dead = append(c.dead, c.incarnationOf("e1"))
		c.updateDirectories()
		found := c.replicas["a1"].adoptable(c.replicas["a1"].shard(0), c.followers["a1"].Directory())
		is.Equal(len(found), 1)
		is.Equal(found[0].GetKey(), "key")
	})
}

func TestAnswerSizeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, 1)
		c.replicas["a1"].answerCache.limit = 2 * MaxAnswerBytes
		sizes := []int{MaxAnswerBytes + 1, MaxAnswerBytes / 2, MaxAnswerBytes - 100, MaxAnswerBytes - 100}
		for n, size := range sizes {
			key := fmt.Sprint("key", n)
			_, err := c.clients["e1"].Hold(t.Context(), holdRequest(key, 1))
			is.NoErr(err)
			q := finishRequest(key, 1, complete)
			q.Outcome.Results = [][]byte{make([]byte, size)}
			_, err = c.clients["e1"].Finish(t.Context(), q)
			is.NoErr(err)
		}
		for n, truncated := range []bool{true, true, false, false} {
			reply, err := c.clients["e2"].Look(t.Context(), fmt.Sprint("key", n))
			is.NoErr(err)
			is.Equal(reply.GetRecord().GetOutcome().GetKind(), complete)
			is.Equal(reply.GetRecord().GetOutcome().GetTruncated(), truncated)
		}
	})
}
