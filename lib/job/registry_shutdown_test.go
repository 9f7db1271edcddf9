package job

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

// TestShutdownAsksNobody guards against requests that get no answer at the end of their
// entry's grace period, because it first asks other members, which are silent.
func TestShutdownAsksNobody(t *testing.T) {
	tests := []struct {
		name string
		// copied is set if another entry has the job, too.
		copied bool
		// silent are the members that don't answer once the request waits.
		silent []string
	}{
		{name: "job that waits for capacity", silent: []string{"x", "y", "z"}},
		{name: "job of an entry that is lost", copied: true, silent: []string{"b", "x", "y", "z"}},
		{name: "job of another entry", copied: true},
	}
	for _, test := range tests {
		for after := 100 * time.Millisecond; after <= 2*time.Second; after += 100 * time.Millisecond {
			t.Run(fmt.Sprintf("%s/%v", test.name, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newRegistryFleet(t, doneAfter(30*time.Second))
					if test.copied {
						f.submit("b", "second", 1)
					} else {
						f.submit("c", "first", 8) // takes all capacity
					}
					time.Sleep(100 * time.Millisecond)
					out := f.submit("a", "second", 1)
					time.Sleep(100 * time.Millisecond)
					for _, id := range test.silent {
						f.set(f.silent, id, true)
					}
					time.Sleep(after)
					is.Equal(len(out), 0) // the request waits
					ctx, cancel := context.WithCancel(t.Context())
					cancel()
					began := time.Now()
					f.registries["a"].Shutdown(ctx)
					answer := <-out
					t.Logf("%+v after %v", answer, time.Since(began))
					is.True(time.Since(began) <= answerMargin)
					for _, id := range test.silent {
						f.set(f.silent, id, false)
					}
					time.Sleep(2 * time.Second) // all calls end
				})
			})
		}
	}
}

// submit submits a job with n tasks that has plenty of time.
func (f *registryFleet) submit(entry, id string, n uint32) chan Outcome {
	j := newJob(id, n)
	j.Kind = &wire.Kind{Name: "long", MaxAttempts: 3}
	j.Deadline = time.Now().Add(5 * time.Minute)
	out := make(chan Outcome, 1)
	go func() { out <- f.registries[entry].Submit(f.t.Context(), j) }()
	return out
}
