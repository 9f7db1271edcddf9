// Command harness3 runs one case of the third review: a small deployment of real
// processes, a disruption, and the check of one rule.
package main

import (
	"context"
	"fmt"
	"os"
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
	"late-copy":     lateCopy,
	"frozen-entry":  frozenEntry,
	"dropped-route": droppedRoute,
	"lost-answer":   lostAnswer,
	"suspended":     suspendedMachine,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(s scenario, recordFile string, trouble bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	note := func(text string) { fmt.Println(text) }
	broken, record, err := s(ctx, trouble, note)
	verdict, code := "the rule held", exitHeld
	switch {
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
