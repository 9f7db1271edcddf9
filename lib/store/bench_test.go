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

// BenchmarkKeep keeps jobs at four hosts whose disks take syncTime a sync and
// whose messages take 1 to 3 ms, by one caller and by many at once.
func BenchmarkKeep(b *testing.B) {
	for _, callers := range []int{1, 64, 256} {
		b.Run(fmt.Sprintf("%dcallers", callers), func(b *testing.B) {
			c := newCluster(b, "h1", "h2", "h3", "h4")
			defer c.stopHosts()
			c.change(joinCommand + "one")
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

// BenchmarkLeaderLoss stops the leader and measures until a job is kept again.
func BenchmarkLeaderLoss(b *testing.B) {
	for n := 0; b.Loop(); n++ {
		b.StopTimer()
		c := newCluster(b, "h1", "h2", "h3", "h4")
		c.change(joinCommand + "one")
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

// filled returns a store of jobs with a content of 500 bytes and 20 tasks, of
// which all are noted.
func filled() *Machine {
	m := NewMachine(Limits{Jobs: benchJobs, Bytes: 1 << 30})
	spec := string(make([]byte, 500))
	for n := range benchJobs {
		id := fmt.Sprintf("%016x", n)
		kept := job(id, spec)
		kept.Steps[0].Count = 20
		m.Apply(&wire.StoreCommand{Command: &wire.StoreCommand_Keep{Keep: &wire.KeepRequest{Owner: one, Job: kept}}}, everyone())
		news := &wire.JobNote{Id: id, Epoch: 1, State: running}
		for index := range 20 {
			news.Tasks = append(news.Tasks, &wire.TaskRecord{Task: fmt.Sprintf("%s.0.0.%d", id, index), Attempt: 1, Done: true})
		}
		q := &wire.NoteRequest{Owner: one, Notes: []*wire.JobNote{news}}
		m.Apply(&wire.StoreCommand{Command: &wire.StoreCommand_Note{Note: q}}, everyone())
	}
	return m
}

// BenchmarkSnapshot encodes 10,000 jobs and reads them in.
func BenchmarkSnapshot(b *testing.B) {
	before := heap()
	m := filled()
	b.Run("memory", func(b *testing.B) {
		for b.Loop() {
			time.Sleep(time.Microsecond)
		}
		b.ReportMetric(float64(heap()-before)/benchJobs, "heapB/job")
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

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
