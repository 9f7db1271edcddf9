package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"skylarklane.example/lib/wire"
)

// machine is where one life of the worker after the other takes calls; some
// are lost, applied late, or answered in vain.
type machine struct {
	*fakeWorker
	random *rand.Rand
	chaos  bool
	told   map[string]bool
	specs  map[Running]string
	broken []string
}

// order carries an order out, or does so late, or never.
func order[T any](m *machine, ctx context.Context, apply func() T) (T, error) {
	var none T
	m.mu.Lock()
	luck, late := 1.0, time.Duration(0)
	if m.chaos {
		luck, late = m.random.Float64(), time.Duration(m.random.IntN(4000))*time.Millisecond
	}
	m.mu.Unlock()
	time.Sleep(late / 1000)
	switch {
	case luck < 0.1:
	case luck < 0.2:
		apply()
	case luck < 0.3:
		m.later(late, func() { apply() })
	default:
		return apply(), ctx.Err()
	}
	<-ctx.Done()
	return none, ctx.Err()
}

// later carries an order out unless this life is over by then.
func (m *machine) later(d time.Duration, apply func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	born := m.said.Born
	time.AfterFunc(d, func() {
		m.mu.Lock()
		over := m.said.Born != born
		m.mu.Unlock()
		if !over {
			apply()
		}
	})
}

func (m *machine) Start(ctx context.Context, q Start) (Answer, error) {
	return order(m, ctx, func() Answer { return m.applyStart(q) })
}

func (m *machine) Stop(ctx context.Context, q Stop) (Answer, error) {
	return order(m, ctx, func() Answer { return m.applyStop(q) })
}

func (m *machine) Hold(ctx context.Context, q Hold) (Report, error) {
	return order(m, ctx, func() Report { return m.applyHold(ctx, q) })
}

// begin has a run end by itself.
func (m *machine) begin(q Start) {
	at := Running{Task: q.Task, Run: q.Run}
	if m.told[q.Spec] {
		m.breaks("started after its end was told: " + q.Spec)
	}
	m.specs[at] = q.Spec
	born, length := m.said.Born, time.Duration(20+m.random.IntN(800))*time.Millisecond
	time.AfterFunc(length, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.said.Born == born && m.runs[at] {
			m.end(at, Done)
		}
	})
}

func (m *machine) breaks(what string) { m.broken = append(m.broken, what) }

// restart makes the next life, with the same id or another one.
func (m *machine) restart() Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := newFakeWorker(m.said.ID, m.said.Born+1000)
	if m.random.IntN(2) == 0 {
		next.said.ID += "x"
	}
	m.began, m.said = next.began, next.said
	m.fence, m.lease, m.cursor, m.lastEnd = 0, 0, 0, 0
	m.runs, m.barred, m.ends, m.specs = next.runs, next.barred, nil, map[Running]string{}
	return m.said
}

// caller is an entry that launches and halts at random, and counts ends.
type caller struct {
	d        *desk
	m        *machine
	entry    *wire.Incarnation
	random   *rand.Rand
	sent     time.Time
	seen     uint64
	attempts map[string]uint32
	open     map[string]int
}

func (c *caller) spec(task string, attempt uint32) string {
	return fmt.Sprintf("%s/%s/%d", c.entry.GetId(), task, attempt)
}

func (c *caller) watch() *wire.WorkerState {
	c.m.mu.Lock()
	c.sent = time.Now()
	c.m.mu.Unlock()
	reply := c.d.watch(c.entry, c.seen)
	c.m.mu.Lock()
	defer c.m.mu.Unlock()
	c.m.settle()
	for _, e := range reply.GetEnds() {
		c.seen = e.GetNumber()
		spec := c.spec(e.GetRun().GetTask(), e.GetRun().GetAttempt())
		c.open[spec]--
		c.m.told[spec] = true
		for at, s := range c.m.specs {
			if s == spec && c.m.runs[at] {
				c.m.breaks(fmt.Sprint("runs after its end was told: ", e))
			}
		}
	}
	return reply.GetWorker()
}

func (c *caller) act() {
	state := c.watch()
	task := fmt.Sprint("t", c.random.IntN(12))
	switch n := c.random.IntN(10); {
	case n == 0 && c.open[c.spec(task, c.attempts[task])] > 0:
		c.d.halt(c.entry, c.attempts[task], task)
	case n < 6 && state.GetAccepting():
		c.attempts[task]++
		spec := c.spec(task, c.attempts[task])
		q := c.d.order(c.entry, c.attempts[task], task)
		q.Spec = []byte(spec)
		reply, err := c.d.k.Launch(context.Background(), q)
		c.d.NoErr(err)
		if reply.GetResults()[0].GetAccepted() {
			c.open[spec]++
		}
	case n == 9:
		time.Sleep(time.Duration(c.random.IntN(2000)) * time.Millisecond)
	}
	time.Sleep(time.Duration(c.random.IntN(60)) * time.Millisecond)
}

// resend is how long after its entry's last watch a run has to be gone.
const resend = 1300 * time.Millisecond

// check looks at what runs at the worker.
func (m *machine) check(callers []*caller) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	if len(m.runs) > 4 {
		m.breaks(fmt.Sprint("over capacity: ", m.runs))
	}
	tasks := map[string]bool{}
	for at := range m.runs {
		if tasks[at.Task] {
			m.breaks("two runs of " + at.Task)
		}
		tasks[at.Task] = true
		spec := m.specs[at]
		i := slices.IndexFunc(callers, func(c *caller) bool { return strings.HasPrefix(spec, c.entry.GetId()+"/") })
		if age := time.Since(callers[i].sent); age >= resend {
			m.breaks(fmt.Sprint("runs ", age, " after its entry's last watch: ", spec))
		}
	}
}

func TestRandomFaults(t *testing.T) {
	// 117: a worker that restarted under its id, unannounced, granted more lease
	// than was asked of the life before.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 117} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRandomFaults(t, seed) })
		})
	}
}

func playRandomFaults(t *testing.T, seed uint64) {
	d := newDesk(t)
	random := rand.New(rand.NewPCG(seed, 1))
	m := &machine{
		fakeWorker: d.w,
		random:     rand.New(rand.NewPCG(seed, 2)),
		told:       map[string]bool{},
		specs:      map[Running]string{},
	}
	m.onRun = m.begin
	d.k.dial = func(Announcement) Worker { return m }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.k.Run(ctx)
	}()
	synctest.Wait()
	d.announce(d.w)
	var callers []*caller
	stop := make(chan struct{})
	stopped := make(chan struct{})
	for i := range 3 {
		c := &caller{
			d: d, m: m,
			entry:    &wire.Incarnation{Id: fmt.Sprint("e", i), Number: 1},
			random:   rand.New(rand.NewPCG(seed, 10+uint64(i))),
			attempts: map[string]uint32{},
			open:     map[string]int{},
		}
		callers = append(callers, c)
		go func() {
			defer func() { stopped <- struct{}{} }()
			for {
				select {
				case <-stop:
					return
				default:
					c.act()
				}
			}
		}()
	}
	for step := range 4000 {
		time.Sleep(5 * time.Millisecond)
		m.check(callers)
		switch {
		case step%200 == 0:
			m.set(func() { m.chaos = random.IntN(2) == 0 })
			d.announce(d.w)
		case random.IntN(1500) == 0:
			m.restart()
		}
	}
	m.set(func() { m.chaos = false })
	close(stop)
	for range callers {
		<-stopped
	}
	d.announce(d.w)
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		for _, c := range callers {
			c.watch()
		}
	}
	if len(m.broken) > 0 {
		t.Errorf("%d broken, first: %s", len(m.broken), m.broken[0])
	}
	for _, c := range callers {
		for spec, n := range c.open {
			if n != 0 {
				t.Errorf("%s: %d ends missing", spec, n)
			}
		}
	}
	cancel()
	<-done
}
