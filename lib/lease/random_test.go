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

// machine is the address at which consecutive incarnations of the worker take
// calls. Some calls are lost, delayed, or lose their answer.
type machine struct {
	*fakeWorker
	random     *rand.Rand
	faulty     bool
	endTold    map[string]bool
	specs      map[Running]string
	violations []string
}

// order carries an order out at once, late, or never.
func order[T any](m *machine, ctx context.Context, apply func() T) (T, error) {
	var none T
	m.mu.Lock()
	outcome, late := 1.0, time.Duration(0)
	if m.faulty {
		outcome, late = m.random.Float64(), time.Duration(m.random.IntN(4000))*time.Millisecond
	}
	m.mu.Unlock()
	time.Sleep(late / 1000)
	switch {
	case outcome < 0.1:
	case outcome < 0.2:
		apply()
	case outcome < 0.3:
		m.later(late, func() { apply() })
	default:
		return apply(), ctx.Err()
	}
	<-ctx.Done()
	return none, ctx.Err()
}

// later carries an order out after d unless this incarnation is over by then.
func (m *machine) later(d time.Duration, apply func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	born := m.announcement.Born
	time.AfterFunc(d, func() {
		m.mu.Lock()
		over := m.announcement.Born != born
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

// begin schedules the end of a run.
func (m *machine) begin(q Start) {
	at := Running{Task: q.Task, Run: q.Run}
	if m.endTold[q.Spec] {
		m.addViolation("started after its end was told: " + q.Spec)
	}
	m.specs[at] = q.Spec
	born, length := m.announcement.Born, time.Duration(20+m.random.IntN(800))*time.Millisecond
	time.AfterFunc(length, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.announcement.Born == born && m.runs[at] {
			m.end(at, Done)
		}
	})
}

func (m *machine) addViolation(what string) { m.violations = append(m.violations, what) }

// restart starts the next incarnation, with the same id or another one.
func (m *machine) restart() Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := newFakeWorker(m.announcement.ID, m.announcement.Born+1000)
	if m.random.IntN(2) == 0 {
		next.announcement.ID += "x"
	}
	m.began, m.announcement = next.began, next.announcement
	m.fence, m.lease, m.cursor, m.lastEnd = 0, 0, 0, 0
	m.runs, m.barred, m.ends, m.specs = next.runs, next.barred, nil, map[Running]string{}
	return m.announcement
}

// caller is an entry that launches and halts runs at random, and counts their
// ends.
type caller struct {
	d        *driver
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
		c.m.endTold[spec] = true
		for at, s := range c.m.specs {
			if s == spec && c.m.runs[at] {
				c.m.addViolation(fmt.Sprint("runs after its end was told: ", e))
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

// check verifies the invariants on the runs at the worker.
func (m *machine) check(callers []*caller) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	if len(m.runs) > 4 {
		m.addViolation(fmt.Sprint("over capacity: ", m.runs))
	}
	tasks := map[string]bool{}
	for at := range m.runs {
		if tasks[at.Task] {
			m.addViolation("two runs of " + at.Task)
		}
		tasks[at.Task] = true
		spec := m.specs[at]
		i := slices.IndexFunc(callers, func(c *caller) bool { return strings.HasPrefix(spec, c.entry.GetId()+"/") })
		if age := time.Since(callers[i].sent); age >= resend {
			m.addViolation(fmt.Sprint("runs ", age, " after its entry's last watch: ", spec))
		}
	}
}

func TestRandomFaults(t *testing.T) {
	// Seed 117 guards against a worker that restarts under its id without an
	// announcement and grants a longer lease than its predecessor was asked for.
	for _, seed := range []uint64{0, 1, 2, 3, 4, 5, 6, 7, 117} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64) {
	d := newDriver(t)
	random := rand.New(rand.NewPCG(seed, 1))
	m := &machine{
		fakeWorker: d.w,
		random:     rand.New(rand.NewPCG(seed, 2)),
		endTold:    map[string]bool{},
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
			m.set(func() { m.faulty = random.IntN(2) == 0 })
			d.announce(d.w)
		case random.IntN(1500) == 0:
			m.restart()
		}
	}
	m.set(func() { m.faulty = false })
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
	if len(m.violations) > 0 {
		t.Errorf("%d violations, first: %s", len(m.violations), m.violations[0])
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
