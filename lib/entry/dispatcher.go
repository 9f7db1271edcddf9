package entry

import (
	"context"
	"net/http"
	"sync"

	"skylarklane.example/lib/membership"
	"skylarklane.example/lib/wire"
)

// Job is a held submission that this entry coordinates.
type Job struct {
	Key  string
	Spec *wire.JobSpec
	// Settled are the tasks that a takeover has accounted for; they must not
	// start again.
	Settled []*wire.TaskStatus
}

// dispatcher queues the tasks of jobs and starts them on tokens.
type dispatcher struct {
	follower *membership.Follower
	tokens   *tokens
	client   *http.Client
}

// Run starts every task and gathers the results.
func (d *dispatcher) Run(ctx context.Context, job Job) *wire.Outcome {
	key, spec := job.Key, job.Spec
	results := make([][]byte, len(spec.GetPayloads()))
	reasons := make([]string, len(spec.GetPayloads()))
	var tasks sync.WaitGroup
	for n, payload := range spec.GetPayloads() {
		tasks.Go(func() {
			results[n], reasons[n] = d.runTask(ctx, key, n, payload, spec)
		})
	}
	tasks.Wait()
	for _, reason := range reasons {
		if reason != "" {
			return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_FAILED, Reason: reason}
		}
	}
	return &wire.Outcome{Kind: wire.OutcomeKind_OUTCOME_KIND_COMPLETE, Results: results}
}

func (d *dispatcher) runTask(ctx context.Context, key string, n int, payload []byte, spec *wire.JobSpec) ([]byte, string) {
	token := <-d.tokens.idle
	address := d.addressOf(token.GetAgent())
	reply, err := wire.NewAgentProtobufClient("http://"+address, d.client).Start(ctx, &wire.StartRequest{
		Job: key, Task: uint32(n), Coordinator: d.follower.Member().GetIncarnation(), Agent: token.GetAgent(),
		Token: token.GetNumber(), Service: spec.GetService(), Kind: spec.GetKind(), Payload: payload,
	})
	if err != nil {
		return nil, "agentLost"
	}
	if reply.GetToken() != nil {
		d.tokens.idle <- reply.GetToken()
	}
	return reply.GetResult(), reply.GetReason()
}

func (d *dispatcher) addressOf(who *wire.Incarnation) string {
	for _, member := range d.follower.Directory().GetMembers() {
		if member.GetIncarnation().GetNumber() == who.GetNumber() {
			return member.GetAddress()
		}
	}
	return ""
}
