package cmd

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// cmdEvacuate is `skylarklane evacuate begin|finish|status`.
type cmdEvacuate struct {
	Begin  cmdEvacuateBegin  `cmd:"" help:"Begin the evacuation of a data centre: no task starts on the workers there; those that run end by themselves."`
	Finish cmdEvacuateFinish `cmd:"" help:"Finish the evacuation of a data centre: tasks start on the workers there again."`
	Status cmdEvacuateStatus `cmd:"" help:"Show the data centres and which of them are evacuated."`
}

// cmdEvacuateBegin is `skylarklane evacuate begin DATA_CENTRE`.
type cmdEvacuateBegin struct {
	DataCentre string `arg:"" help:"Name of the data centre." name:"data_centre"`
	controlFlag
	outputFlag
}

// Run begins the evacuation.
func (c *cmdEvacuateBegin) Run(e *env) error {
	return c.evacuate(e, c.outputFlag, &wire.EvacuateRequest{DataCentre: c.DataCentre})
}

// cmdEvacuateFinish is `skylarklane evacuate finish DATA_CENTRE`.
type cmdEvacuateFinish struct {
	DataCentre string `arg:"" help:"Name of the data centre." name:"data_centre"`
	controlFlag
	outputFlag
}

// Run finishes the evacuation.
func (c *cmdEvacuateFinish) Run(e *env) error {
	return c.evacuate(e, c.outputFlag, &wire.EvacuateRequest{DataCentre: c.DataCentre, Finish: true})
}

// dataCentreStatus is the state of one data centre.
type dataCentreStatus struct {
	Name      string `json:"name"`
	Evacuated bool   `json:"evacuated"`
	// Version is the log index of the last change of Evacuated, 0 if there was none.
	Version   uint64     `json:"version"`
	ChangedAt *time.Time `json:"changedAt,omitempty"`
	// Members are the members that run there now.
	Members int `json:"members"`
}

// evacuationResult is the result of evacuate begin and evacuate finish.
type evacuationResult struct {
	DataCentre string `json:"dataCentre"`
	Evacuated  bool   `json:"evacuated"`
	Version    uint64 `json:"version"`
	// Changed is unset if the data centre was already in that state.
	Changed bool `json:"changed"`
}

// String returns the result as one line.
func (r evacuationResult) String() string {
	state := "not evacuated"
	if r.Evacuated {
		state = "evacuated"
	}
	if !r.Changed {
		return fmt.Sprintf("%s was already %s (version %d)", r.DataCentre, state, r.Version)
	}
	return fmt.Sprintf("%s is now %s (version %d)", r.DataCentre, state, r.Version)
}

// evacuate sends the call, again if there is no response.
func (f controlFlag) evacuate(e *env, output outputFlag, q *wire.EvacuateRequest) error {
	op := "evacuate begin"
	if q.GetFinish() {
		op = "evacuate finish"
	}
	reply, err := callControl(e, f, func(ctx context.Context, control wire.Control) (*wire.EvacuateReply, error) {
		return control.Evacuate(ctx, q)
	})
	if err != nil {
		return &Error{Op: op, Kind: KindFailed, Err: eris.Wrap(err, "the outcome is unknown; repeat the command")}
	}
	if !reply.GetAccepted() {
		return &Error{Op: op, Kind: KindRefused, Err: eris.Errorf("%s %q: %s", reply.GetReason(), q.GetDataCentre(), reply.GetDetail())}
	}
	d := reply.GetDataCentre()
	result := evacuationResult{DataCentre: d.GetName(), Evacuated: d.GetEvacuated(), Version: d.GetVersion(), Changed: reply.GetChanged()}
	return output.print(e, result, table{title: result.String()})
}

// cmdEvacuateStatus is `skylarklane evacuate status`.
type cmdEvacuateStatus struct {
	controlFlag
	outputFlag
}

// evacuationStatus is the state of all data centres that are known.
type evacuationStatus struct {
	// Current is unset if no leader could be reached; the status may then be
	// outdated.
	Current     bool               `json:"current"`
	DataCentres []dataCentreStatus `json:"dataCentres"`
}

// Run prints the data centres.
func (c *cmdEvacuateStatus) Run(e *env) error {
	reply, err := callControl(e, c.controlFlag, func(ctx context.Context, control wire.Control) (*wire.StatusReply, error) {
		return control.Status(ctx, &wire.StatusRequest{})
	})
	if err != nil {
		return &Error{Op: "evacuate status", Kind: KindFailed, Err: err}
	}
	s := newEvacuationStatus(reply)
	t := table{header: []string{"DATA CENTRE", "EVACUATED", "SINCE", "VERSION", "MEMBERS"}}
	if !s.Current {
		t.title = "NOT CURRENT: no leader could be reached, this status may be outdated"
	}
	for _, d := range s.DataCentres {
		since := ""
		if d.ChangedAt != nil {
			since = d.ChangedAt.Format(time.RFC3339)
		}
		t.rows = append(t.rows, []string{d.Name, strconv.FormatBool(d.Evacuated), orDash(since), strconv.FormatUint(d.Version, 10), strconv.Itoa(d.Members)})
	}
	return c.print(e, s, t)
}

// newEvacuationStatus lists the data centres that were ever evacuated and those of
// the members, sorted by name.
func newEvacuationStatus(reply *wire.StatusReply) evacuationStatus {
	s := evacuationStatus{Current: reply.GetCurrent(), DataCentres: []dataCentreStatus{}}
	for _, d := range reply.GetDirectory().GetDataCentres() {
		at := time.UnixMilli(d.GetChangedAtMillis()).UTC()
		s.DataCentres = append(s.DataCentres, dataCentreStatus{Name: d.GetName(), Evacuated: d.GetEvacuated(), Version: d.GetVersion(), ChangedAt: &at})
	}
	for _, member := range reply.GetDirectory().GetMembers() {
		s.countMember(member.GetDataCentre())
	}
	slices.SortFunc(s.DataCentres, func(a, b dataCentreStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// countMember counts a member in its data centre, which is added if it is missing.
func (s *evacuationStatus) countMember(dataCentre string) {
	if dataCentre == "" {
		return
	}
	at := slices.IndexFunc(s.DataCentres, func(d dataCentreStatus) bool { return d.Name == dataCentre })
	if at < 0 {
		s.DataCentres = append(s.DataCentres, dataCentreStatus{Name: dataCentre})
		at = len(s.DataCentres) - 1
	}
	s.DataCentres[at].Members++
}
