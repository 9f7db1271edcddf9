// Package capacity extrapolates from measured slopes what each role needs at a
// planned size, and compares it with the budget.
package capacity

import (
	"fmt"
	"io"

	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/rollout"
	"skylarklane.example/load/internal/slope"
)

// Plan is the size to plan for, and the budget.
type Plan struct {
	Workers         float64
	StartsPerSecond float64
	TasksPerJob     float64
	Entries         float64
	DataCentres     float64
	ChangesPerDay   float64
	RestartsPerDay  float64
	// RelaysEach is the number of relays in each data centre. A relay forwards
	// heartbeats and configuration changes.
	RelaysEach float64
	// RelayInterval is the time between lease renewals, in seconds.
	RelayInterval float64
	// Retention is how long the keys of finished jobs are kept, in seconds.
	Retention float64
	// The budget of one machine for control.
	BudgetCPU      float64 // per cent of a core
	BudgetRSS      float64 // MB
	BudgetKBSecond float64
}

const (
	secondsPerDay     = 86_400
	percent           = 100
	megabyte          = 1 << 20
	kilobyte          = 1000
	replicasPerRecord = 3
	microseconds      = 1e6
)

// Sheet renders the plan from what was measured.
type Sheet struct {
	plan    Plan
	slopes  slope.Result
	rollout rollout.Result
}

// New returns a sheet for the plan.
func New(plan Plan, slopes slope.Result, changes rollout.Result) Sheet {
	return Sheet{plan: plan, slopes: slopes, rollout: changes}
}

// Markdown writes the tables.
func (s Sheet) Markdown(w io.Writer) {
	fmt.Fprintln(w, "Slopes from:")
	fmt.Fprintln(w)
	s.slopes.Origin.Markdown(w)
	s.origin(w, s.rollout.Origin)
	s.idleUse(w)
	s.startCosts(w)
	s.records(w)
	s.changeTraffic(w)
	s.directoryTraffic(w)
	s.relays(w)
}

func (s Sheet) origin(w io.Writer, o report.Origin) {
	if o.Command != "" {
		o.Markdown(w)
	}
}

// idleUse writes what each role uses without work, as a function of the
// number of agents.
func (s Sheet) idleUse(w io.Writer) {
	p := s.plan
	fmt.Fprintf(w, "Steady state of one process, no work, at %.0f workers (base + slope for each agent); \"from\" is the number of agents at which the budget is passed:\n\n", p.Workers)
	fmt.Fprintln(w, "| role | CPU, % of a core | at size | budget | from | KB/s | at size | budget | from | RSS, MB | at size | budget | from |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, name := range []string{slope.Leader, slope.Follower, slope.Entry} {
		f, ok := s.slopes.Fit(slope.Idle, name)
		if !ok {
			continue
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", name,
			s.lineCells(f.CPU, p.BudgetCPU), s.lineCells(f.KBSecond, p.BudgetKBSecond), s.lineCells(f.RSS, p.BudgetRSS))
	}
	fmt.Fprintln(w)
	s.idleAgent(w)
}

// idleAgent writes what one agent uses without work, at the largest size
// measured: it hardly depends on the number of agents.
func (s Sheet) idleAgent(w io.Writer) {
	var last slope.Point
	for _, p := range s.slopes.Points {
		if p.Phase == slope.Idle && p.Entries == 1 && p.Agents > last.Agents {
			last = p
		}
	}
	r, ok := last.Role(slope.Agent)
	if !ok {
		return
	}
	fmt.Fprintf(w, "An agent with its stand-in, no work, among %d: %.2f%% of a core and %.1f KB/s", last.Agents, r.CPU*percent, r.BytesPerSecond/kilobyte)
	for _, k := range s.slopes.Keys {
		fmt.Fprintf(w, "; an agent process by itself takes %.1f MB", k.RSSBefore/megabyte)
	}
	fmt.Fprint(w, ".\n\n")
}

// lineCells returns four table cells: the fitted line, its value at the planned
// size, the budget, and the number of agents at which the budget is exceeded.
func (s Sheet) lineCells(l slope.Line, budget float64) string {
	at := l.At(s.plan.Workers)
	from := "never"
	if l.Slope > 0 {
		from = fmt.Sprintf("%.0f", max(0, (budget-l.Base)/l.Slope))
	}
	value := fmt.Sprintf("%.3g", at)
	if at > budget {
		value = "**" + value + "**"
	}
	return fmt.Sprintf("%.3g + %.3g n | %s | %.3g | %s", l.Base, l.Slope, value, budget, from)
}

// startCosts writes what task starts cost in addition to the idle use.
func (s Sheet) startCosts(w io.Writer) {
	p := s.plan
	entry, agent, bytes := s.slopes.Costs()
	perEntry, perAgent := p.StartsPerSecond/p.Entries, p.StartsPerSecond/p.Workers
	fmt.Fprintf(w, "Work at %.0f starts/s: %.0f starts/s at each of %.0f entries, %.1f at each agent.\n\n", p.StartsPerSecond, perEntry, p.Entries, perAgent)
	fmt.Fprintln(w, "| role | CPU µs a start | CPU, % of a core | bytes a start | KB/s |")
	fmt.Fprintln(w, "|---|---|---|---|---|")
	fmt.Fprintf(w, "| entry | %.1f | %.1f | %.0f | %.0f |\n", entry, entry*perEntry/microseconds*percent, bytes, bytes*perEntry/kilobyte)
	fmt.Fprintf(w, "| agent with its stand-in | %.1f | %.2f | | |\n\n", agent, agent*perAgent/microseconds*percent)
}

// records writes the memory that ledger records take at each agent.
func (s Sheet) records(w io.Writer) {
	p := s.plan
	jobs := p.StartsPerSecond / p.TasksPerJob
	for _, k := range s.slopes.Keys {
		if k.Error != "" || k.BytesPerRecord <= 0 {
			continue
		}
		records := jobs * p.Retention * replicasPerRecord / p.Workers
		base := k.RSSBefore / megabyte
		room := max(0, p.BudgetRSS-base) * megabyte / k.BytesPerRecord
		fmt.Fprintf(w, "Ledger at %.0f jobs/s (%.0f tasks a job), kept %.0f s: %.0f records at each agent, %.0f bytes each, %.1f MB beside %.1f MB of an agent with few; the budget of %.0f MB holds %.0f records, that is %.0f s at this rate.\n\n",
			jobs, p.TasksPerJob, p.Retention, records, k.BytesPerRecord, records*k.BytesPerRecord/megabyte, base,
			p.BudgetRSS, room, room*p.Workers/replicasPerRecord/jobs)
	}
}

// changeTraffic writes what configuration changes cost the leader if it
// sends them to every member itself.
func (s Sheet) changeTraffic(w io.Writer) {
	p, r := s.plan, s.rollout
	if r.Accepted == 0 {
		return
	}
	members := p.Workers + p.Entries
	each := float64(r.ChangeBytes) * members
	fmt.Fprintf(w, "Configuration: %.0f bytes a change (%d services, %d teams) to %.0f members, told by the leader: %.1f MB a change, %.1f KB/s over a day of %.0f changes (budget %.0f KB/s); at the budget one change takes %.0f s. Measured on one machine with 13 members: in force after %.2f s at p99; control host %.1f MB RSS and %.1f MB on disk after %d changes.\n\n",
		float64(r.ChangeBytes), r.Options.Services, r.Options.Teams, members, each/megabyte,
		each*p.ChangesPerDay/secondsPerDay/kilobyte, p.ChangesPerDay, p.BudgetKBSecond, each/kilobyte/p.BudgetKBSecond,
		r.InForce.P99/kilobyte, float64(r.ControlRSS)/megabyte, float64(r.ControlDisk)/megabyte, r.Accepted)
}

// directoryTraffic writes what restarted processes fetch of the directory.
func (s Sheet) directoryTraffic(w io.Writer) {
	l, ok := s.slopes.Directory()
	if !ok {
		return
	}
	p := s.plan
	members := p.Workers + p.Entries
	size := l.At(members)
	fmt.Fprintf(w, "Directory as a message: %s bytes (64 shards), %.2f MB at size. A restarted process fetches it once: %.2f KB/s over a day of %.0f restarts. A region that comes back (half of the members) fetches %.0f MB: %.0f minutes at the budget from one leader, %.1f from %.0f relays.\n\n",
		l, size/megabyte, size*p.RestartsPerDay/secondsPerDay/kilobyte, p.RestartsPerDay, size*members/2/megabyte,
		size*members/2/kilobyte/p.BudgetKBSecond/60, size*members/2/kilobyte/p.BudgetKBSecond/60/s.relayCount(), s.relayCount())
}

func (s Sheet) relayCount() float64 { return s.plan.RelaysEach * s.plan.DataCentres }

// relays writes the load on the leader and on each relay if relays renew the
// leases of the members.
func (s Sheet) relays(w io.Writer) {
	p := s.plan
	f, ok := s.slopes.Fit(slope.Idle, slope.Leader)
	if !ok || f.Requests.Slope <= 0 {
		return
	}
	relays := s.relayCount()
	base := max(0, f.KBSecond.Base)
	renewal := f.KBSecond.Slope / f.Requests.Slope * kilobyte
	cpu := f.CPU.Slope / f.Requests.Slope * microseconds / percent
	each := p.Workers / relays
	change := float64(s.rollout.ChangeBytes)
	fmt.Fprintf(w, "Renewals of all members straight at the leader fit the budget of %.0f KB/s only at one in %.0f s from each. With %.0f relays, each renewing every %.2g s in the name of its members, and these every %.2g s with it:\n\n",
		p.BudgetKBSecond, renewal*(p.Workers+p.Entries)/(p.BudgetKBSecond-base)/kilobyte, relays, p.RelayInterval, p.RelayInterval)
	fmt.Fprintln(w, "| | leader | each relay |")
	fmt.Fprintln(w, "|---|---|---|")
	fmt.Fprintf(w, "| renewals served a second (%.0f bytes and %.0f µs each) | %.1f | %.1f |\n", renewal, cpu, relays/p.RelayInterval, each/p.RelayInterval)
	fmt.Fprintf(w, "| CPU, %% of a core (budget %.2g) | %.2f | %.2f |\n", p.BudgetCPU,
		f.CPU.Base+cpu*relays/p.RelayInterval/microseconds*percent, cpu*each/p.RelayInterval/microseconds*percent)
	fmt.Fprintf(w, "| KB/s (budget %.0f) | %.1f | %.1f |\n", p.BudgetKBSecond,
		base+renewal*relays/p.RelayInterval/kilobyte, renewal*each/p.RelayInterval/kilobyte)
	fmt.Fprintf(w, "| RSS, MB (budget %.0f) | %.1f | |\n", p.BudgetRSS, f.RSS.At(relays))
	fmt.Fprintf(w, "| KB/s for changes of configuration over a day | %.2f | %.2f |\n",
		change*relays*p.ChangesPerDay/secondsPerDay/kilobyte, change*each*p.ChangesPerDay/secondsPerDay/kilobyte)
	fmt.Fprintf(w, "| one change told at the budget, s | %.1f | %.1f |\n\n",
		change*relays/kilobyte/p.BudgetKBSecond, change*each/kilobyte/p.BudgetKBSecond)
}
