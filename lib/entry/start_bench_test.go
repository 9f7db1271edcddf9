package entry

import (
	"fmt"
	"sync"
	"testing"

	"skylarklane.example/lib/wire"
)

// BenchmarkStart measures the starts of tasks that end at once, with the agents
// in the same process.
func BenchmarkStart(b *testing.B) {
	for _, n := range []int{11, 50, 150, 300} {
		b.Run(fmt.Sprint(n, " agents"), func(b *testing.B) {
			var agents []*fakeAgent
			for i := range n {
				agents = append(agents, startFakeAgent(b, fmt.Sprint("worker", i), 8, succeed))
			}
			d, _ := newTestDispatcher(b, agents...)
			runJobs(b, d, 4, max(b.N/100, 1), 100)
		})
	}
}

// runJobs runs jobs with the given number of tasks from concurrent callers.
func runJobs(b *testing.B, d *dispatcher, callers, jobs, tasks int) {
	b.ResetTimer()
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for i := range (jobs + callers - 1) / callers {
				outcome := d.Run(b.Context(), jobOf(fmt.Sprint(c, "-", i), "finCheck", tasks))
				if outcome.GetKind() != wire.OutcomeKind_OUTCOME_KIND_COMPLETE {
					b.Error(outcome.GetReason())
				}
			}
		})
	}
	group.Wait()
	b.StopTimer()
	b.ReportMetric(float64(jobs*tasks)/b.Elapsed().Seconds(), "starts/s")
}
