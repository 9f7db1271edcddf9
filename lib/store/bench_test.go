package store

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"skylarklane.example/lib/wire"
)

// BenchmarkKeep stores jobs on four hosts, with one caller and with many
// concurrent ones. A disk sync takes syncTime and a message 1 to 3 ms.
func BenchmarkKeep(b *testing.B) {
	for _, callers := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("%dcallers", callers), func(b *testing.B) {
			c := newCluster(b, "h1", "h2", "h3", "h4")
			defer c.stopHosts()
			c.proposeMembership(joinCommand + "one")
			client := c.client()
			ids := make(chan string)
			var done sync.WaitGroup
			for range callers {
				done.Go(func() {
					for id := range ids {
						if _, err := client.Keep(context.Background(), &wire.KeepRequest{Owner: one, Job: job(id, id)}); err != nil {
							b.Error(err)
						}
					}
				})
			}
			n := 0
			for b.Loop() {
				n++
				ids <- fmt.Sprint(n)
			}
			close(ids)
			done.Wait()
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "jobs/s")
		})
	}
}

// BenchmarkLeaderLoss stops the leader and measures the time until a job can be
// stored again.
func BenchmarkLeaderLoss(b *testing.B) {
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		c := newCluster(b, "h1", "h2", "h3", "h4")
		c.proposeMembership(joinCommand + "one")
		client := c.client()
		_, _ = client.Keep(context.Background(), &wire.KeepRequest{Owner: one, Job: job("a", "a")})
		c.stop(c.leader())
		b.StartTimer()
		for {
			if _, err := client.Keep(context.Background(), &wire.KeepRequest{Owner: one, Job: job("b", "b")}); err == nil {
				break
			}
		}
		b.StopTimer()
		c.stopHosts()
		b.StartTimer()
	}
}

const benchJobs = 10_000

// newFilledMachine returns a state machine with benchJobs jobs, each with a
// content of 500 bytes and stored records of all its 20 tasks.
func newFilledMachine() *Machine {
	m := NewMachine(Limits{Jobs: benchJobs, Bytes: 1 << 30})
	spec := string(make([]byte, 500))
	for n := range benchJobs {
		id := fmt.Sprintf("%016x", n)
		kept := job(id, spec)
		kept.Steps[0].Count = 20
		m.Apply(&wire.StoreCommand{Command: &wire.StoreCommand_Keep{Keep: &wire.KeepRequest{Owner: one, Job: kept}}}, allMembers())
		note := &wire.JobNote{Id: id, Epoch: 1, State: running}
		for index := range 20 {
			note.Tasks = append(note.Tasks, &wire.TaskRecord{Task: fmt.Sprintf("%s.0.0.%d", id, index), Attempt: 1, Done: true})
		}
		q := &wire.NoteRequest{Owner: one, Notes: []*wire.JobNote{note}}
		m.Apply(&wire.StoreCommand{Command: &wire.StoreCommand_Note{Note: q}}, allMembers())
	}
	return m
}

// BenchmarkSnapshot encodes and restores a snapshot of 10,000 jobs.
func BenchmarkSnapshot(b *testing.B) {
	before := heapBytes()
	m := newFilledMachine()
	b.Run("memory", func(b *testing.B) {
		for b.Loop() {
			time.Sleep(time.Microsecond)
		}
		b.ReportMetric(float64(heapBytes()-before)/benchJobs, "heapB/job")
		b.ReportMetric(float64(m.bytes)/benchJobs, "roomB/job")
		b.ReportMetric(float64(len(m.Snapshot()))/benchJobs, "snapshotB/job")
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			m.Snapshot()
		}
	})
	b.Run("restore", func(b *testing.B) {
		snapshot := m.Snapshot()
		other := NewMachine(m.limits)
		for b.Loop() {
			if err := other.Restore(snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
