package membership

import (
	"context"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// Report sends an observation to the leader of the control group. It tries the
// control hosts in turn; if one names the leader, it sends the observation
// there.
func (f *Follower) Report(ctx context.Context, q *wire.ReportRequest) error {
	err := eris.New("no control host is known")
	for _, address := range f.ControlHosts() {
		var leader string
		if leader, err = f.reportTo(ctx, address, q); err == nil && leader != "" {
			leader, err = f.reportTo(ctx, leader, q)
		}
		if err == nil && leader == "" {
			return nil
		}
	}
	if err == nil {
		err = eris.New("no control host is the leader")
	}
	return err
}

func (f *Follower) reportTo(ctx context.Context, address string, q *wire.ReportRequest) (leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	reply, err := wire.NewControlProtobufClient("http://"+address, f.client).Report(ctx, q)
	return reply.GetLeader(), err
}
