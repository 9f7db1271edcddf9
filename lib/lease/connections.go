package lease

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// connectionIdleTimeout closes unused connections to a worker.
const connectionIdleTimeout = 5 * time.Minute

// Connection is one connection to the address of a worker. All of its calls reach the
// process that has accepted it, or none; it neither reconnects nor repeats a call.
type Connection interface {
	Worker
	// Usable reports whether the connection may carry another call.
	Usable() bool
}

var _ Worker = (*Connections)(nil)

// Connections is a Worker whose orders reach one incarnation only. The id and the
// address of a worker outlive its process, so each connection first carries a hold,
// which renews and acknowledges nothing, and carries orders once its answer has named
// the incarnation.
type Connections struct {
	open func(ctx context.Context) (Connection, error)
	id   string
	born int64
	// slots bounds the open connections.
	slots chan struct{}

	mu sync.Mutex
	// idle holds the connections without a call, the one used last at the end.
	idle   []*namedConnection
	closed bool
}

// namedConnection is a connection that may have named its incarnation.
type namedConnection struct {
	Connection
	named  bool
	usedAt time.Time
}

// NewConnections returns a worker with at most limit connections to the incarnation of
// an announcement. open opens one.
func NewConnections(a Announcement, limit int, open func(ctx context.Context) (Connection, error)) *Connections {
	return &Connections{open: open, id: a.ID, born: a.Born, slots: make(chan struct{}, limit)}
}

// Start implements Worker.
func (p *Connections) Start(ctx context.Context, q Start) (Answer, error) {
	c, answer, err := p.take(ctx, q.Fence)
	if c == nil {
		return answer.Answer, err
	}
	defer p.put(c)
	return c.Start(ctx, q)
}

// Stop implements Worker.
func (p *Connections) Stop(ctx context.Context, q Stop) (Answer, error) {
	c, answer, err := p.take(ctx, q.Fence)
	if c == nil {
		return answer.Answer, err
	}
	defer p.put(c)
	return c.Stop(ctx, q)
}

// Hold implements Worker. If another incarnation answers, the report has its start
// time only.
func (p *Connections) Hold(ctx context.Context, q Hold) (Report, error) {
	c, answer, err := p.take(ctx, q.Fence)
	switch {
	case c == nil && answer.Refusal == RefusedSuccessor:
		return Report{Born: answer.Born}, err
	case c == nil:
		return answer, err
	}
	defer p.put(c)
	return c.Hold(ctx, q)
}

// Close implements Worker.
func (p *Connections) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// take returns a connection that has named the incarnation, or the answer that it gave
// instead.
func (p *Connections) take(ctx context.Context, fence uint64) (*namedConnection, Report, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, Report{}, unnamed(ctx.Err())
	}
	c := p.takeIdle()
	if c == nil {
		opened, err := p.open(ctx)
		if err != nil {
			<-p.slots
			return nil, Report{}, unnamed(err)
		}
		c = &namedConnection{Connection: opened}
	}
	if c.named {
		return c, Report{}, nil
	}
	answer, err := p.name(ctx, c, fence)
	if !c.named {
		p.put(c)
		return nil, answer, err
	}
	return c, Report{}, nil
}

// name asks a connection for the incarnation at its other end.
func (p *Connections) name(ctx context.Context, c *namedConnection, fence uint64) (Report, error) {
	answer, err := c.Hold(ctx, Hold{Fence: fence, WorkerID: p.id})
	switch {
	case err != nil:
		return Report{}, unnamed(err)
	case answer.Refusal != Accepted:
		return Report{Answer: answer.Answer}, nil
	case answer.Born == 0 && p.born != 0:
		return Report{}, unnamed(eris.New("the answer has no start time"))
	case answer.Born != p.born:
		c.Close()
		return Report{Answer: Answer{Refusal: RefusedSuccessor}, Born: answer.Born}, nil
	}
	c.named = true
	return Report{}, nil
}

// takeIdle returns the connection that was used last, nil if none is usable.
func (p *Connections) takeIdle() *namedConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.Usable() {
			return c
		}
		c.Close()
	}
	return nil
}

// put returns a connection after a call, and closes those that were unused for long.
func (p *Connections) put(c *namedConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	<-p.slots
	now := time.Now()
	c.usedAt = now
	if p.closed || !c.Usable() {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
	for now.Sub(p.idle[0].usedAt) > connectionIdleTimeout {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// unnamed returns the error of a call that was not made.
func unnamed(err error) *Error {
	return &Error{Op: "name the worker", Kind: KindUnnamed, Err: eris.Wrap(err, "the connection has not named the worker's incarnation")}
}
