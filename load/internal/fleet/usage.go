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

// Usage is what a process has used since it started. RSS and Threads are the
// current values.
type Usage struct {
	Name string
	At   time.Time
	// CPU is the processor time.
	CPU time.Duration
	// RSS is the memory in use, in bytes.
	RSS int64
	// Bytes is the number of bytes read and written, to sockets and files.
	Bytes int64
	// Threads is the number of threads of the operating system.
	Threads int64
}

// Usage reads the usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	folder := "/proc/" + strconv.Itoa(p.command.Process.Pid) + "/"
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return Usage{}, &Error{Op: "read usage of " + p.Name, Kind: KindSample, Err: eris.Wrap(err, "the process has ended")}
	}
	status, _ := os.ReadFile(folder + "status")
	io, _ := os.ReadFile(folder + "io")
	// The program name, in brackets, may contain spaces, so the fields are
	// counted from the closing bracket.
	fields := strings.Fields(string(stat)[strings.LastIndexByte(string(stat), ')')+1:])
	return Usage{
		At:      time.Now(),
		CPU:     time.Duration(parseNumber(fields[11])+parseNumber(fields[12])) * clockTick,
		RSS:     labelledNumber(string(status), "VmRSS:") << 10,
		Bytes:   labelledNumber(string(io), "rchar:") + labelledNumber(string(io), "wchar:"),
		Threads: labelledNumber(string(status), "Threads:"),
	}, nil
}

// Since returns the usage between an earlier reading and u. At, RSS and Threads
// are those of u.
func (u Usage) Since(earlier Usage) Usage {
	u.CPU -= earlier.CPU
	u.Bytes -= earlier.Bytes
	return u
}

// labelledNumber returns the number after a label in a file of /proc.
func labelledNumber(text, label string) int64 {
	_, after, found := strings.Cut(text, label)
	if !found {
		return 0
	}
	return parseNumber(strings.Fields(after)[0])
}

func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}
