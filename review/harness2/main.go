// Harness2 plays one case of the review: it starts the roles of the project as
// processes, with stand-ins for workers, clients and the operator, and judges what
// these see. It exits with 1 if a rule was broken, 0 if none was, and 2 if the case
// couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest that a case may take.
const longest = 110 * time.Second

var cases = map[string]func(c *cluster, trouble bool) error{
	"reborn-kind": rebornKind,
	"suspended":   suspended,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*cluster, bool) error, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c, err := newCluster(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan error, 1)
	go func() { ended <- run(c, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-ended:
	case got := <-signals:
		err = fmt.Errorf("the case was interrupted: %v", got)
	case <-time.After(longest):
		err = fmt.Errorf("the case took longer than %v", longest)
	}
	if err != nil {
		rec.logf("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		return 2
	}
	broken := rec.brokenRules()
	for _, one := range broken {
		fmt.Println(one)
	}
	if len(broken) > 0 {
		return 1
	}
	fmt.Println("no rule was broken;", c.jobs.starts, "runs were started")
	return 0
}
