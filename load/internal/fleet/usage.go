package fleet

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used since it began, but for RSS, which is of
// the moment.
type Usage struct {
	Name string
	At   time.Time
	// CPU is the processor time.
	CPU time.Duration
	// RSS is the memory in use, in bytes.
	RSS int64
	// Bytes were read and written, sockets and files together.
	Bytes int64
	// Threads of the operating system.
	Threads int64
}

// Usage reads what the process has used.
func (p *Process) Usage() (Usage, error) {
	folder := "/proc/" + strconv.Itoa(p.command.Process.Pid) + "/"
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, &Error{Op: "read usage of " + p.Name, Kind: KindSample, Err: eris.Wrap(err, "the process is gone")}
	}
	status, _ := os.ReadFile(folder + "status")
	io, _ := os.ReadFile(folder + "io")
	// The name in brackets may hold spaces: fields count from its end.
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
	return Usage{
		At:      time.Now(),
		CPU:     time.Duration(number(fields[11])+number(fields[12])) * clockTick,
		RSS:     field(string(status), "VmRSS:") << 10,
		Bytes:   field(string(io), "rchar:") + field(string(io), "wchar:"),
		Threads: field(string(status), "Threads:"),
	}, nil
}

// Since is the use between an earlier reading and u, with the RSS of u.
func (u Usage) Since(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.Bytes -= earlier.Bytes
	return u
}

// field returns the number after a label in a file of /proc.
func field(text, label string) int64 {
	_, after, found := strings.Cut(text, label)
	if !found {
		return 0
	}
	return number(strings.Fields(after)[0])
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}
