package report

import (
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"
)

// NewOrigin returns the origin of a result whose measurement starts now.
func NewOrigin(kind string, args []string) Origin {
	return Origin{
		Type:       kind,
		Command:    "load " + strings.Join(args, " "),
		Commit:     commit(),
		Began:      time.Now().UTC().Format(time.RFC3339),
		Cores:      runtime.NumCPU(),
		Memory:     totalMemory(),
		LoadBefore: LoadAverage(),
	}
}

// WithEnd returns the origin with the load of the machine at the end.
func (o Origin) WithEnd() Origin {
	o.LoadAfter = LoadAverage()
	return o
}

// LoadAverage returns the content of /proc/loadavg.
func LoadAverage() string {
	text, _ := os.ReadFile("/proc/loadavg")
	return strings.TrimSpace(string(text))
}

// commit returns the commit of the source. A "+" after it marks uncommitted
// changes outside the docs folder, which holds pages and results.
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

func totalMemory() int64 {
	text, _ := os.ReadFile("/proc/meminfo")
	_, after, found := strings.Cut(string(text), "MemTotal:")
	if !found {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	return kilobytes << 10
}
