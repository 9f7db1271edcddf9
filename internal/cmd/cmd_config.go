package cmd

import (
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// cmdConfig is `skylarklane config log|diff|show`.
type cmdConfig struct {
	Log  cmdConfigLog  `cmd:"" help:"List accepted changes, newest last."`
	Diff cmdConfigDiff `cmd:"" help:"Show the differences between two versions."`
	Show cmdConfigShow `cmd:"" help:"Show one version."`
}

// cmdConfigLog is `skylarklane config log`.
type cmdConfigLog struct {
	controlFlag
	Since uint64 `help:"First version to list; by default the newest ones are listed."`
	Limit uint32 `help:"Maximum number of changes to list." default:"20"`
	outputFlag
}

// changeSummary is one row of the log.
type changeSummary struct {
	Version    uint64 `json:"version"`
	ChangeID   string `json:"changeId"`
	Author     string `json:"author"`
	AcceptedAt string `json:"acceptedAt"`
	Services   int    `json:"services"`
	Teams      int    `json:"teams"`
}

// Run prints the log.
func (c *cmdConfigLog) Run(e *env) error {
	since := c.Since
	if since == 0 {
		inForce, err := c.inForce(e, "config log")
		if err != nil {
			return err
		}
		since = 1 + inForce - min(inForce, uint64(c.Limit))
	}
	changes, err := c.history(e, "config log", since, c.Limit)
	if err != nil {
		return err
	}
	found := []changeSummary{}
	t := table{header: []string{"VERSION", "ACCEPTED AT", "AUTHOR", "SERVICES", "TEAMS", "CHANGE"}}
	for _, change := range changes {
		s := summaryOf(change)
		found = append(found, s)
		t.rows = append(t.rows, []string{
			strconv.FormatUint(s.Version, 10), s.AcceptedAt, s.Author, strconv.Itoa(s.Services), strconv.Itoa(s.Teams), s.ChangeID,
		})
	}
	return c.print(e, found, t)
}

func summaryOf(change *wire.Change) changeSummary {
	return changeSummary{
		Version:    change.GetVersion(),
		ChangeID:   change.GetChangeId(),
		Author:     change.GetAuthor(),
		AcceptedAt: time.UnixMilli(change.GetAcceptedAtMillis()).UTC().Format(time.RFC3339),
		Services:   len(change.GetServices()),
		Teams:      len(change.GetTeams()),
	}
}

// cmdConfigShow is `skylarklane config show`.
type cmdConfigShow struct {
	Version uint64 `arg:"" optional:"" help:"Version to show; the one in force by default."`
	controlFlag
	outputFlag
}

// Run prints one version.
func (c *cmdConfigShow) Run(e *env) error {
	change, err := c.change(e, "config show", c.Version)
	if err != nil {
		return err
	}
	shown := newConfiguration(change)
	return c.print(e, shown, shown.tables()...)
}

// cmdConfigDiff is `skylarklane config diff`.
type cmdConfigDiff struct {
	From uint64 `arg:"" optional:"" help:"Older version; the one before the newer by default."`
	To   uint64 `arg:"" optional:"" help:"Newer version; the one in force by default."`
	controlFlag
	outputFlag
}

// Run prints the differences.
func (c *cmdConfigDiff) Run(e *env) error {
	newer, err := c.change(e, "config diff", c.To)
	if err != nil {
		return err
	}
	from := c.From
	if from == 0 && newer.GetVersion() > 0 {
		from = newer.GetVersion() - 1
	}
	older := &wire.Change{}
	if from > 0 {
		if older, err = c.change(e, "config diff", from); err != nil {
			return err
		}
	}
	differences := diff(newConfiguration(older), newConfiguration(newer))
	t := table{title: fmt.Sprintf("from version %d to version %d: %d differences", from, newer.GetVersion(), len(differences))}
	if len(differences) > 0 {
		t.header = []string{"FIELD", "BEFORE", "AFTER"}
	}
	for _, d := range differences {
		t.rows = append(t.rows, []string{d.Field, orDash(d.Before), orDash(d.After)})
	}
	return c.print(e, differences, t)
}

// change returns one version with its content; 0 stands for the version in
// force.
func (f controlFlag) change(e *env, op string, version uint64) (*wire.Change, error) {
	if version == 0 {
		inForce, err := f.inForce(e, op)
		if err != nil || inForce == 0 {
			return &wire.Change{}, err
		}
		version = inForce
	}
	changes, err := f.history(e, op, version, 1)
	if err != nil {
		return nil, err
	}
	if len(changes) == 0 || changes[0].GetVersion() != version {
		return nil, &Error{Op: op, Kind: KindRefused, Err: eris.Errorf("version %d does not exist or is no longer stored", version)}
	}
	if changes[0].GetDropped() {
		return nil, &Error{Op: op, Kind: KindRefused, Err: eris.Errorf("the content of version %d is no longer stored", version)}
	}
	return changes[0], nil
}
