package report

import (
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// NewOrigin returns the origin of a result of the kind that is measured now.
func NewOrigin(kind string, args []string) Origin {
	return Origin{
		Type:       kind,
		Command:    "load " + strings.Join(args, " "),
		Commit:     commit(),
		Began:      time.Now().UTC().Format(time.RFC3339),
		Cores:      runtime.NumCPU(),
		Memory:     memory(),
		LoadBefore: LoadAverage(),
	}
}

// WithEnd notes the state of the machine at the end.
func (o Origin) WithEnd() Origin {
	o.LoadAfter = LoadAverage()
	return o
}

// LoadAverage returns /proc/loadavg.
func LoadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	return strings.TrimSpace(string(text))
}

// commit is the commit of the source; "+" marks changes on top of it, pages and
// results left out.
func commit() string {
	head, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(head))
	changes, err := exec.Command("git", "status", "--porcelain", "--", ":/", ":!/docs").Output()
	if err != nil || len(changes) > 0 {
		name += "+"
	}
	return name
}

func memory() int64 {
	text, _ := os.ReadFile("/proc/meminfo")
	_, after, found := strings.Cut(string(text), "MemTotal:")
	if !found {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	return kilobytes << 10
}
