package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"skylarklane.example/lib/wire"
)

const ms = time.Millisecond

func TestParse(t *testing.T) {
	cases := []struct {
		name string
		want Policy
		fail bool
	}{
		{"", Tokens{}, false},
		{"tokens", Tokens{}, false},
		{"twoChoices", TwoChoices{}, false},
		{"random", Random{}, false},
		{"fastest", nil, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			policy, err := Parse(c.name)
			is.Equal(policy, c.want)
			is.Equal(err != nil, c.fail)
		})
	}
}

func TestShouldWait(t *testing.T) {
	fast := []BusySlot{{FreeIn: 20 * ms, Factor: 1}, {FreeIn: 90 * ms, Factor: 1}}
	cases := []struct {
		name   string
		run    time.Duration
		factor float64
		busy   []BusySlot
		ahead  int
		want   bool
	}{
		{"nothing faster", 100 * ms, 3, nil, 0, false},
		{"fast slot free soon", 100 * ms, 2, fast, 0, true},
		{"free slot hardly slower", 100 * ms, 1.1, fast, 0, false},
		{"second in line, still sooner", 100 * ms, 2, fast, 1, true},
		{"second in line, later", 50 * ms, 2, fast, 1, false},
		{"third in line, after another task", 100 * ms, 2, fast, 2, false},
		{"third in line, still sooner", 100 * ms, 3, fast, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(ShouldWait(c.run, c.factor, c.busy, c.ahead), c.want)
		})
	}
}

func TestRemaining(t *testing.T) {
	cases := []struct{ expected, elapsed, want time.Duration }{
		{100 * ms, 0, 100 * ms},
		{100 * ms, 60 * ms, 40 * ms},
		{100 * ms, 99 * ms, 25 * ms},
		{100 * ms, time.Second, 25 * ms}, // far beyond the expected run time
	}
	for _, c := range cases {
		is.New(t).Equal(Remaining(c.expected, c.elapsed), c.want)
	}
}

func TestLend(t *testing.T) {
	urgent, normal := wire.Urgency_URGENCY_URGENT, wire.Urgency_URGENCY_NORMAL
	waiting := func(batch, normal, urgent int) [Urgencies]int { return [Urgencies]int{0, batch, normal, urgent} }
	cases := []struct {
		name string
		own  Demand
		ask  Shortage
		want int
	}{
		{"idle lender", Demand{Held: 44, Idle: 44}, Shortage{44, urgent, 10}, 10},
		{"small surplus", Demand{Held: 44, Idle: 3}, Shortage{44, urgent, 10}, 3},
		{"nothing idle", Demand{Held: 44}, Shortage{44, urgent, 10}, 0},
		{"less urgent tasks yield", Demand{Held: 44, Idle: 2, Queued: waiting(9, 400, 0)}, Shortage{44, urgent, 10}, 2},
		{"more urgent tasks first", Demand{Held: 44, Idle: 2, Queued: waiting(0, 0, 2)}, Shortage{44, normal, 400}, 0},
		{"tokens left over by more urgent tasks", Demand{Held: 44, Idle: 5, Queued: waiting(0, 0, 2)}, Shortage{44, normal, 400}, 3},
		{"enough for both", Demand{Held: 44, Idle: 20, Queued: waiting(0, 0, 10)}, Shortage{44, urgent, 10}, 10},
		{"both short, the borrower more", Demand{Held: 80, Idle: 20, Queued: waiting(0, 0, 20)}, Shortage{8, urgent, 300}, 20},
		{"both short, equally", Demand{Held: 44, Idle: 1, Queued: waiting(0, 0, 50)}, Shortage{44, urgent, 50}, 0},
		{"not worth a message", Demand{Held: 46, Idle: 2, Queued: waiting(0, 0, 50)}, Shortage{42, urgent, 54}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Lend(c.own, c.ask), c.want)
		})
	}
}

func TestEstimateFinish(t *testing.T) {
	cases := []struct {
		load           Load
		total, longest time.Duration
		want           time.Duration
	}{
		{Load{Slots: 8}, 80 * ms, 50 * ms, 50 * ms},
		{Load{Slots: 8}, 800 * ms, 50 * ms, 100 * ms},
		{Load{Slots: 8, Queued: 1600 * ms, Running: 400 * ms}, 80 * ms, 50 * ms, 300 * ms},
		{Load{}, 800 * ms, 50 * ms, 50 * ms},
	}
	for _, c := range cases {
		is.New(t).Equal(EstimateFinish(c.load, c.total, c.longest), c.want)
	}
}

// TestLearn checks that the run time of a kind and the factors of three workers
// are learned although the declared run time is ten times too long.
func TestLearn(t *testing.T) {
	is := is.New(t)
	kind := FromDeclared(time.Second)
	factors := []float64{1, 2, 4}
	workers := make([]Average, len(factors))
	for n := range 600 {
		w := n % len(factors)
		noise := 0.8 + 0.4*float64(n%7)/6
		run := time.Duration(100 * float64(ms) * factors[w] * noise)
		kind, workers[w] = Learn(kind, workers[w], run)
	}
	for w, factor := range factors {
		got := kind.Value() * workers[w].Value()
		is.True(math.Abs(got/(0.1*factor)-1) < 0.2) // within a fifth of the actual run time
	}
	is.True(workers[2].Value()/workers[0].Value() > 3)
}

func TestServerHealth(t *testing.T) {
	now := time.Now()
	once := ServerHealth{}.WithFailure("job1", now)
	twice := once.WithFailure("job2", now)
	cases := []struct {
		name    string
		health  ServerHealth
		after   time.Duration
		ejected bool
		mayTry  bool
	}{
		{"new", ServerHealth{}, 0, false, true},
		{"one failed job", once, 0, false, true},
		{"same job again", once.WithFailure("job1", now), 0, false, true},
		{"two failed jobs", twice, 0, true, false},
		{"trial", twice, minTrialDelay, true, true},
		{"during the trial", twice.WithTrial(now.Add(minTrialDelay)), minTrialDelay, true, false},
		{"trial failed", twice.WithFailure("job3", now), minTrialDelay, true, false},
		{"trial succeeded", twice.WithSuccess(), 0, false, true},
		{"unreachable", ServerHealth{}.WithUnreachable(now), 0, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.health.Ejected(), c.ejected)
			is.Equal(c.health.MayTry(now.Add(c.after)), c.mayTry)
		})
	}
}

func TestTrialDelayIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	h := ServerHealth{}
	for n := range 40 {
		h = h.WithFailure(fmt.Sprint("job", n), now)
		is.True(h.TrialAt.Sub(now) <= maxTrialDelay)
	}
	is.Equal(h.TrialAt.Sub(now), maxTrialDelay)
}
