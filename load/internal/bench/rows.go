package bench

import (
	"fmt"

	"skylarklane.example/load/internal/recovery"
	"skylarklane.example/load/internal/report"
	"skylarklane.example/load/internal/rollout"
	"skylarklane.example/load/internal/slope"
)

func cellRows(c report.Cell) []Row {
	name := fmt.Sprintf("%s, %s, %d entries", c.Name, c.Placement, c.Entries)
	if c.Error != "" {
		return []Row{{Measure: "response / ideal at " + name, Target: "to be run", Measured: "not run: " + c.Error}}
	}
	u := c.Urgency("all")
	median, tail := u.Response.P50/u.Central.P50, u.Response.P99/u.Central.P99
	m := c.Messages()
	wasted := m.Wasted / max(m.Work, 1)
	v := c.Verdict
	return []Row{
		{
			Measure: "median response / clairvoyant queue at " + name, Target: fmt.Sprintf("<= %.2f, later %.2f", medianTarget, medianLaterTarget),
			Measured: fmt.Sprintf("%.2f (%.1f of %.1f ms)", median, u.Response.P50, u.Central.P50), Met: u.Jobs > 0 && median <= medianTarget,
		},
		{
			Measure: "p99 response / clairvoyant queue at " + name, Target: fmt.Sprintf("<= %.2f", p99Target),
			Measured: fmt.Sprintf("%.2f (%.1f of %.1f ms)", tail, u.Response.P99, u.Central.P99), Met: u.Jobs > 0 && tail <= p99Target,
		},
		{
			Measure: "messages at " + name, Target: fmt.Sprintf("<= %.1f a task beside 8 a job", messagesPerTaskTarget),
			Measured: fmt.Sprintf("%.2f", c.PerTask()), Met: c.Tasks > 0 && c.PerTask() <= messagesPerTaskTarget,
		},
		{
			Measure: "wasted messages at " + name, Target: fmt.Sprintf("<= %.0f%%", percent*wastedShareTarget),
			Measured: fmt.Sprintf("%.2f%%", percent*wasted), Met: c.Tasks > 0 && wasted <= wastedShareTarget,
		},
		{
			Measure: "lost, doubled, partial, false refusals at " + name, Target: "0",
			Measured: fmt.Sprintf("%d, %d, %d, %d", v.Lost, v.Doubled, v.Partial, v.FalseRefusals), Met: c.Tasks > 0 && !v.Broken(),
		},
	}
}

func delayRow(d slope.Delay) Row {
	row := Row{
		Measure: "own delay, unloaded, p50 / p99", Target: fmt.Sprintf("<= %d / %d ms", delayMedianTargetMillis, delayP99TargetMillis),
		Measured: fmt.Sprintf("%.2f / %.2f ms, %d of %d jobs not complete", d.Millis.P50, d.Millis.P99, d.Failed, d.Jobs),
		Met:      d.Failed == 0 && d.Jobs > 0 && d.Millis.P50 <= delayMedianTargetMillis && d.Millis.P99 <= delayP99TargetMillis,
	}
	if d.Error != "" {
		row.Measured = "not run: " + d.Error
	}
	return row
}

func startRateRow(r slope.Result) Row {
	best := slope.Point{}
	for _, p := range r.Points {
		if p.Entries == 1 && p.StartsPerSecond > best.StartsPerSecond {
			best = p
		}
	}
	return Row{
		Measure: "starts/s of one entry, tasks without length", Target: fmt.Sprintf(">= %d", startRateTarget),
		Measured: fmt.Sprintf("%.0f on %d agents, %d jobs not complete", best.StartsPerSecond, best.Agents, best.Failed),
		Met:      best.StartsPerSecond >= startRateTarget && best.Failed == 0,
	}
}

// startCostRow compares the entry's processor time per task start at the
// largest number of agents with that at the smallest.
func startCostRow(r slope.Result) Row {
	var first, last slope.Point
	for _, p := range r.Points {
		if p.Entries != 1 || p.Phase != slope.Busy || p.Error != "" {
			continue
		}
		if first.Agents == 0 {
			first = p
		}
		last = p
	}
	firstCost, lastCost := startCost(first), startCost(last)
	return Row{
		Measure:  fmt.Sprintf("entry's processor time a start, %d against %d agents", last.Agents, first.Agents),
		Target:   fmt.Sprintf("flat: <= %.2f times", startCostRatioTarget),
		Measured: fmt.Sprintf("%.1f against %.1f us", lastCost, firstCost),
		Met:      firstCost > 0 && lastCost > 0 && lastCost <= firstCost*startCostRatioTarget,
	}
}

func startCost(p slope.Point) float64 {
	role, _ := p.Role(slope.Entry)
	return role.CPUMicrosPerStart
}

func memoryRows(p Parts) []Row {
	var rows []Row
	for _, k := range p.Slopes.Keys {
		rows = append(rows, Row{
			Measure: fmt.Sprintf("RSS of an agent after %d jobs on %d agents", k.Jobs, k.Agents), Target: "<= 32 MB",
			Measured: fmt.Sprintf("%.1f MB %s", k.RSSAfter/megabyte, k.Error), Met: k.Error == "" && k.RSSAfter <= memoryTarget,
		})
	}
	return append(rows, Row{
		Measure: fmt.Sprintf("RSS of control after %d changes", p.Rollout.Accepted), Target: "<= 32 MB",
		Measured: fmt.Sprintf("%.1f MB", float64(p.Rollout.ControlRSS)/megabyte),
		Met:      p.Rollout.ControlRSS > 0 && p.Rollout.ControlRSS <= memoryTarget,
	})
}

func recoveryRow(k recovery.Kill) Row {
	v := k.Verdict
	row := Row{
		Measure: "kill -9 of the " + k.Victim + ": new work answered", Target: fmt.Sprintf("<= %d s, nothing lost or doubled", recoveryTargetSeconds),
		Measured: fmt.Sprintf("%.2f s, %d failed, %d refused, %d lost, %d doubled", k.Seconds, k.Failed, k.NotRun, v.Lost, v.Doubled),
		Met:      k.Jobs > 0 && k.Seconds <= recoveryTargetSeconds && !v.Broken(),
	}
	if k.Error != "" {
		row.Measured, row.Met = "not run: "+k.Error, false
	}
	return row
}

func rolloutRow(r rollout.Result) Row {
	row := Row{
		Measure: fmt.Sprintf("%d changes, %d processes restarted meanwhile", r.Options.Changes, r.Restarted), Target: "in force <= 17 s, never reverts",
		Measured: fmt.Sprintf("p99 %.1f s, max %.1f s, %d late, %d reverted", r.InForce.P99/1000, r.InForce.Max/1000, r.Late, r.Reverted),
		Met:      r.Accepted == r.Options.Changes && r.Timed > 0 && r.Late == 0 && r.Reverted == 0 && r.InForce.Max <= inForceTargetMillis,
	}
	if r.Error != "" {
		row.Measured, row.Met = "not run to its end: "+r.Error, false
	}
	return row
}
