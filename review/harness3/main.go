// Command harness3 runs one case of the third review: a small deployment of real
// processes, a disruption, and the check of one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds a whole case.
const caseLimit = 100 * time.Second

// scenario runs a case. It returns what broke the rule, empty if the rule held.
type scenario func(ctx context.Context, trouble bool, note func(string)) (broken string, record string, err error)

var scenarios = map[string]scenario{
	"late-copy":    lateCopy,
	"frozen-entry": frozenEntry,
	"lost-answer":  lostAnswer,
	"suspended":    suspendedMachine,
	"reborn-dark":  rebornWorker,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(s scenario, recordFile string, trouble bool) int {
	interrupted, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(interrupted, caseLimit)
	defer cancel()
	note := func(text string) { fmt.Println(text) }
	broken, record, err := s(ctx, trouble, note)
	verdict, code := "the rule held", exitHeld
	switch {
	case interrupted.Err() != nil:
		verdict, code = "the case was interrupted", exitNotRun
	case err != nil:
		verdict, code = "the case could not run: "+err.Error(), exitNotRun
	case broken != "":
		verdict, code = "the rule is broken: "+broken, exitBroken
	}
	if err := os.WriteFile(recordFile, []byte(record+verdict+"\n"), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println(verdict)
	return code
}
