package job

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/capacity"
	"skylarklane.example/lib/wire"
)

const (
	// fleetSize is the number of agents of a large fleet.
	fleetSize = 240
	// maxWatchesPerSecond is how many Watches an entry makes at most while it runs
	// nothing, whatever the size of the fleet.
	maxWatchesPerSecond = 600
	// rareLabel is a label of four workers.
	rareLabel = "rare"
)

// fleet is a large fleet of agents with an entry.
type fleet struct {
	*is.I
	t      *testing.T
	agents []*fakeAgent
	byID   map[string]*fakeAgent
	d      *Dispatcher
	n      *network
}

// withFleet runs a test with a fleet of workers that run four tasks of newJob
// each, once the entry has learned of all.
func withFleet(t *testing.T, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{I: is.New(t), t: t, byID: map[string]*fakeAgent{}}
		for i := range fleetSize {
			a := newFakeAgent(fmt.Sprintf("a%d", i), 4000, doneAfter(50*time.Millisecond))
			if i%60 == 0 {
				a.labels = []string{rareLabel}
			}
			a.dataCentre = []string{"suva", "nadi", "lautoka", "ba"}[i%4]
			f.agents = append(f.agents, a)
			f.byID[a.id] = a
		}
		f.d, f.n = newTestNetwork(t, false, f.agents...)
		time.Sleep(2 * time.Second)
		run(f)
	})
}

// watched returns the agents that the entry watches.
func (f *fleet) watched() []*fakeAgent {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	var found []*fakeAgent
	for id, l := range f.d.links {
		if l.watched {
			found = append(found, f.byID[id])
		}
	}
	return found
}

// submit runs a job and returns how long it took.
func (f *fleet) submit(j Job) time.Duration {
	f.Helper()
	j.Received = time.Now()
	j.Deadline = j.Received.Add(10 * time.Second)
	f.Equal(f.d.Submit(f.t.Context(), j), Outcome{State: Complete})
	return time.Since(j.Received)
}

// TestWatchesOfLargeFleet guards against entries whose calls grow with the fleet
// until they fill their processor and that of the agents.
func TestWatchesOfLargeFleet(t *testing.T) {
	tests := []struct {
		name string
		// before is what happens before the calls are counted.
		before func(f *fleet)
		max    int
	}{
		{"no jobs", func(*fleet) {}, maxWatchesPerSecond / 4},
		{"after a job", func(f *fleet) { f.submit(newJob("j", 8)) }, maxWatchesPerSecond},
		{"after agents were needed", func(f *fleet) {
			for _, a := range f.watched() {
				a.set(func() { a.free = capacity.Vector{} })
			}
			f.submit(newJob("j", 8))
		}, maxWatchesPerSecond},
		{"after agents were restarted", func(f *fleet) { // until they report that the runs have ended
			j := newJob("j", 8)
			go f.d.Submit(f.t.Context(), j)
			time.Sleep(10 * time.Millisecond)
			for _, a := range f.agents {
				a.restart(2 * time.Second)
			}
			time.Sleep(500 * time.Millisecond)
		}, maxWatchesPerSecond},
		{"after all were full", func(f *fleet) {
			for _, a := range f.agents {
				a.set(func() { a.free = capacity.Vector{} })
			}
			time.Sleep(time.Second)
			j := newJob("j", 8)
			f.Equal(f.d.Submit(f.t.Context(), j).State, NotRun)
		}, maxWatchesPerSecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				test.before(f)
				before := watches(f.agents)
				for range 100 {
					for _, a := range f.agents {
						a.set(func() {}) // another entry's run begins or ends
					}
					time.Sleep(10 * time.Millisecond)
				}
				n := watches(f.agents) - before
				t.Logf("%d Watches a second, %d agents watched", n, len(f.watched()))
				f.True(n <= test.max)
			})
		})
	}
}

// TestLooksInLargeFleet guards against looks that grow with entries x agents: each takes
// a connection of its own. An agent that has restarted is looked at at once.
func TestLooksInLargeFleet(t *testing.T) {
	const (
		seconds = 20
		// maxLooks is how many agents an entry looks at in a second at most.
		maxLooks = 12
	)
	withFleet(t, func(f *fleet) {
		watched := f.watched()
		others := slices.DeleteFunc(slices.Clone(f.agents), func(a *fakeAgent) bool { return slices.Contains(watched, a) })
		before := watches(others)
		time.Sleep(seconds * time.Second)
		n := watches(others) - before
		t.Logf("%d looks at %d agents in %d s", n, len(others), seconds)
		f.True(n <= maxLooks*seconds)

		restarted := others[:3]
		before = watches(restarted)
		for _, a := range restarted {
			f.n.relisted.Store(a.id, &wire.Member{Incarnation: &wire.Incarnation{Id: a.id, Number: 2}, Role: wire.Role_ROLE_AGENT, Address: a.id, DataCentre: a.dataCentre})
		}
		time.Sleep(directoryInterval + firstLookDelay)
		f.True(watches(restarted)-before >= len(restarted))
	})
}

// TestReportsInLargeFleet guards against entries and agents of a large fleet that spend
// their processors on reports of changed capacity: an agent's runs of all entries change
// it, and each entry with a run there was told each time.
func TestReportsInLargeFleet(t *testing.T) {
	// maxReports is how many reports of an agent an entry with a run there gets in a
	// second at most, besides those of its own ends.
	const maxReports = 10
	withFleet(t, func(f *fleet) {
		for _, a := range f.agents {
			a.set(func() { a.behave = doneAfter(5 * time.Second) })
		}
		j := newJob("j", 8)
		j.Steps[0].Estimate = 5 * time.Second
		j.Received, j.Deadline = time.Now(), time.Now().Add(20*time.Second)
		out := submit(f.t.Context(), f.d, j)
		time.Sleep(500 * time.Millisecond)
		var running []*fakeAgent
		for _, a := range f.agents {
			a.set(func() {
				if len(a.runs) > 0 {
					running = append(running, a)
				}
			})
		}
		before := watches(running)
		for range 100 {
			for _, a := range running {
				a.set(func() {}) // another entry's run begins or ends
			}
			time.Sleep(10 * time.Millisecond)
		}
		n := watches(running) - before
		t.Logf("%d reports of %d agents in a second", n, len(running))
		f.True(len(running) > 0 && n <= maxReports*len(running))
		f.Equal((<-out).State, Complete)
	})
}

// TestPlacementInLargeFleet guards against an entry that refuses or delays a job
// because the workers that suit it are not among those that it watches.
func TestPlacementInLargeFleet(t *testing.T) {
	tests := []struct {
		name string
		// before changes the fleet; it returns the job, which takes 50 ms at least.
		before func(f *fleet) Job
		within time.Duration
	}{
		{"room everywhere", func(*fleet) Job { return newJob("j", 8) }, 60 * time.Millisecond},
		{"a step wider than the watched workers", func(*fleet) Job { return newJob("j", 300) }, 200 * time.Millisecond},
		{"watched workers are full", func(f *fleet) Job {
			for _, a := range f.watched() {
				a.set(func() { a.free = capacity.Vector{} })
			}
			time.Sleep(200 * time.Millisecond)
			return newJob("j", 8)
		}, 100 * time.Millisecond},
		{"a label of few workers", func(f *fleet) Job {
			j := newJob("j", 8)
			j.Steps[0].Label = rareLabel
			return j
		}, 150 * time.Millisecond},
		{"one task a worker", func(*fleet) Job {
			j := newJob("j", 150)
			j.Steps[0].MaxPerWorker = 1
			return j
		}, 400 * time.Millisecond},
		{"watched workers drain", func(f *fleet) Job {
			for _, a := range f.watched() {
				a.set(func() { a.accepting = false })
			}
			time.Sleep(400 * time.Millisecond)
			return newJob("j", 8)
		}, 60 * time.Millisecond},
		{"all agents were cut off", func(f *fleet) Job {
			for _, a := range f.agents {
				a.block("to Watch", "to Launch", "to Halt")
			}
			time.Sleep(5 * time.Second)
			for _, a := range f.agents {
				a.block()
			}
			time.Sleep(300 * time.Millisecond)
			return newJob("j", 8)
		}, 60 * time.Millisecond},
		{"watched agents are lost", func(f *fleet) Job {
			for _, a := range f.watched() {
				a.block("to Watch", "to Launch", "to Halt")
			}
			time.Sleep(time.Second)
			return newJob("j", 8)
		}, 60 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				took := f.submit(test.before(f))
				t.Logf("took %v", took)
				f.True(took <= test.within)
			})
		})
	}
}

// TestLooksOpenNoSession guards against agents that keep sessions of all entries
// of a large fleet.
func TestLooksOpenNoSession(t *testing.T) {
	withFleet(t, func(f *fleet) {
		open := 0
		for _, a := range f.agents {
			a.set(func() { open += len(a.sessions) })
		}
		f.Equal(open, watchLimits.Idle)
		f.d.mu.Lock()
		defer f.d.mu.Unlock()
		for _, l := range f.d.links {
			f.True(l.hasState()) // it knows them all
		}
		f.True(!f.d.neverFits(&activeJob{Job: newJob("j", 1), steps: []*step{{need: capacity.Vector{CPUMillis: 4000}}}}))
		f.Equal(f.d.totalCapacity("sizing").CPUMillis, int64(4000*fleetSize))
	})
}

// TestWorkerOfRelistedAgent guards against a job that fails for good as no worker is known
// to suit it, though one does whose agent is listed again.
func TestWorkerOfRelistedAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const lasting = 5 * time.Minute
		big, small := newFakeAgent("big", 4000, doneAfter(lasting)), newFakeAgent("small", 1000, doneAfter(lasting))
		d, n := newTestNetwork(t, false, big, small)
		j := newJob("long", 1)
		j.Deadline = time.Now().Add(2 * lasting)
		j.Steps[0].Estimate = lasting
		j.Steps[0].Need.CpuMillis = 2000
		submit(t.Context(), d, j)
		time.Sleep(100 * time.Millisecond)
		n.unlisted.Store("big") // its link is kept for the run
		time.Sleep(2 * knownWorkerRetention)
		n.unlisted.Store("")
		for i := range 60 {
			time.Sleep(20 * time.Millisecond)
			j := newJob(fmt.Sprint(i), 1)
			j.Steps[0].Need.CpuMillis = 2000
			j.Deadline = time.Now().Add(time.Second)
			select {
			case out := <-submit(t.Context(), d, j):
				is.True(i < 6 || out.State != Failed) // it may not be listed yet
			case <-time.After(time.Millisecond):
			}
		}
	})
}

// TestLaunchesToQuietAgent guards against an agent with runs that gets no launches, as its
// next answer counts as overdue while the Watch still waits there.
func TestLaunchesToQuietAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var agents []*fakeAgent
		for i := range watchLimits.All + 1 {
			agents = append(agents, newFakeAgent(fmt.Sprintf("a%d", i), 4000, doneAfter(time.Minute)))
		}
		d, _ := newTestNetwork(t, false, agents...)
		time.Sleep(2 * time.Second)
		j := newJob("j", 1)
		j.Deadline = time.Now().Add(2 * time.Minute)
		j.Steps[0].Estimate = time.Minute
		submit(t.Context(), d, j)
		time.Sleep(500 * time.Millisecond)
		for range 1000 {
			time.Sleep(time.Millisecond)
			d.mu.Lock()
			overdue := slices.ContainsFunc(d.ranked, func(l *link) bool { return len(l.runs) > 0 && !l.mayLaunch(d.clock.Now()) })
			d.mu.Unlock()
			is.True(!overdue)
		}
	})
}
