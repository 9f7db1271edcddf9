package cmd

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"skylarklane.example/lib/wire"
)

// cmdStatus is `skylarklane status --control 127.0.0.1:7000`.
type cmdStatus struct {
	Control string `help:"Address of a control host, IP:port." required:""`
	outputFlag
}

// systemStatus is the state of the whole system as reported by one control host.
type systemStatus struct {
	Control          controlStatus  `json:"control"`
	ConfigVersion    uint64         `json:"configVersion"`
	DirectoryVersion uint64         `json:"directoryVersion"`
	Services         []string       `json:"services"`
	Members          []memberStatus `json:"members"`
	// Shards is the number of shards of the ledger; ThinShards is the number of
	// those with fewer than two members.
	Shards      int `json:"shards"`
	ThinShards  int `json:"thinShards"`
	DeadMembers int `json:"deadMembers"`
	// EvacuatedDataCentres are the names of the data centres that are evacuated.
	EvacuatedDataCentres []string `json:"evacuatedDataCentres"`
}

// controlStatus is the state of the control host that sent the status.
type controlStatus struct {
	ID          string `json:"id"`
	Leader      string `json:"leader"`
	Term        uint64 `json:"term"`
	CommitIndex uint64 `json:"commitIndex"`
	// Current is unset if no leader could be reached; the status may then be
	// outdated.
	Current bool         `json:"current"`
	Hosts   []hostStatus `json:"hosts"`
}

// hostStatus is the state of one control host as known to the leader.
type hostStatus struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Voter   bool   `json:"voter"`
	// Reached is set if the host has responded to the leader recently.
	Reached bool `json:"reached"`
	// Behind is the number of committed entries that the host has not confirmed.
	Behind uint64 `json:"behind"`
}

// memberStatus is the state of one entry or agent.
type memberStatus struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Role        string `json:"role"`
	Address     string `json:"address"`
	DataCentre  string `json:"dataCentre"`
	Rack        string `json:"rack"`
	Leaving     bool   `json:"leaving"`
	// LeaseLeftMillis is the time until the member's lease expires.
	LeaseLeftMillis int64 `json:"leaseLeftMillis"`
	// Primaries and Backups are the numbers of the ledger's shards of which the
	// member is the primary or a backup.
	Primaries int `json:"primaries"`
	Backups   int `json:"backups"`
}

// Run prints the state of the system.
func (c *cmdStatus) Run(e *env) error {
	reply, err := requestStatus(e, "status", c.Control)
	if err != nil {
		return err
	}
	s := newSystemStatus(reply)
	title := fmt.Sprintf("control host %s, leader %s, term %d, commit index %d\nconfiguration version %d, directory version %d, services %v\n%d shards, %d of them with fewer than two members; %d members declared dead",
		s.Control.ID, orDash(s.Control.Leader), s.Control.Term, s.Control.CommitIndex,
		s.ConfigVersion, s.DirectoryVersion, s.Services, s.Shards, s.ThinShards, s.DeadMembers)
	if len(s.EvacuatedDataCentres) > 0 {
		title += "\nevacuated data centres: " + strings.Join(s.EvacuatedDataCentres, ", ")
	}
	if !s.Control.Current {
		title = "NOT CURRENT: no leader could be reached, this status may be outdated\n" + title
	}
	return c.print(e, s, table{title: title}, hostsTable(s.Control.Hosts), membersTable(s.Members))
}

func hostsTable(hosts []hostStatus) table {
	t := table{header: []string{"CONTROL HOST", "ADDRESS", "VOTER", "REACHED", "BEHIND"}}
	for _, h := range hosts {
		t.rows = append(t.rows, []string{
			h.ID, orDash(h.Address), strconv.FormatBool(h.Voter), strconv.FormatBool(h.Reached), strconv.FormatUint(h.Behind, 10),
		})
	}
	return t
}

// requestStatus requests the state of the system from a control host.
func requestStatus(e *env, op, control string) (*wire.StatusReply, error) {
	reply, err := wire.NewControlProtobufClient("http://"+control, e.client).Status(e.ctx, &wire.StatusRequest{})
	if err != nil {
		return nil, &Error{Op: op, Kind: KindFailed, Err: eris.Wrap(err, "the control host did not respond")}
	}
	return reply, nil
}

func newSystemStatus(reply *wire.StatusReply) systemStatus {
	directory := reply.GetDirectory()
	s := systemStatus{
		Control: controlStatus{
			ID: reply.GetId(), Leader: reply.GetLeader(), Term: reply.GetTerm(), CommitIndex: reply.GetCommitIndex(),
			Current: reply.GetCurrent(), Hosts: []hostStatus{},
		},
		ConfigVersion:    directory.GetConfigVersion(),
		DirectoryVersion: directory.GetVersion(),
		Services:         []string{},
		Members:          []memberStatus{},
		Shards:           len(directory.GetViews()),
		DeadMembers:      len(directory.GetDead()),

		EvacuatedDataCentres: []string{},
	}
	for _, d := range directory.GetDataCentres() {
		if d.GetEvacuated() {
			s.EvacuatedDataCentres = append(s.EvacuatedDataCentres, d.GetName())
		}
	}
	for _, host := range reply.GetHosts() {
		s.Control.Hosts = append(s.Control.Hosts, hostStatus{
			ID: host.GetId(), Address: host.GetAddress(), Voter: host.GetVoter(), Reached: host.GetReached(),
			Behind: reply.GetCommitIndex() - min(reply.GetCommitIndex(), host.GetMatchIndex()),
		})
	}
	for _, service := range directory.GetServices() {
		s.Services = append(s.Services, service.GetName())
	}
	for _, view := range directory.GetViews() {
		if view.GetPrimary() == nil || len(view.GetBackups()) == 0 {
			s.ThinShards++
		}
	}
	for _, member := range reply.GetMembers() {
		s.Members = append(s.Members, newMemberStatus(member, directory.GetViews()))
	}
	return s
}

func newMemberStatus(status *wire.MemberStatus, views []*wire.View) memberStatus {
	m := status.GetMember()
	s := memberStatus{
		ID:              m.GetIncarnation().GetId(),
		Incarnation:     strconv.FormatUint(m.GetIncarnation().GetNumber(), 16),
		Role:            roleName(m.GetRole()),
		Address:         m.GetAddress(),
		DataCentre:      m.GetDataCentre(),
		Rack:            m.GetRack(),
		Leaving:         m.GetLeaving(),
		LeaseLeftMillis: status.GetLeaseLeftMillis(),
	}
	for _, view := range views {
		if view.GetPrimary().GetNumber() == m.GetIncarnation().GetNumber() {
			s.Primaries++
		}
		for _, backup := range view.GetBackups() {
			if backup.GetNumber() == m.GetIncarnation().GetNumber() {
				s.Backups++
			}
		}
	}
	return s
}

func membersTable(members []memberStatus) table {
	t := table{header: []string{"ID", "ROLE", "ADDRESS", "DATA CENTRE", "RACK", "STATE", "LEASE", "PRIMARY", "BACKUP"}}
	for _, m := range members {
		t.rows = append(t.rows, []string{
			m.ID, m.Role, m.Address, orDash(m.DataCentre), orDash(m.Rack), stateName(m.Leaving),
			fmt.Sprintf("%dms", m.LeaseLeftMillis), strconv.Itoa(m.Primaries), strconv.Itoa(m.Backups),
		})
	}
	return t
}

func roleName(role wire.Role) string {
	switch role {
	case wire.Role_ROLE_ENTRY:
		return "entry"
	case wire.Role_ROLE_AGENT:
		return "agent"
	default:
		return "unknown"
	}
}

func stateName(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "serving"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
