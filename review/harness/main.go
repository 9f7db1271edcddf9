// Harness plays the cases of the review that can't be put as a day of the bench:
// it starts the roles of the system as processes, beside stand-ins for its
// platform, and checks one rule.
//
//	harness CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout limits a whole case, its start included.
const caseTimeout = 100 * time.Second

// verdict is the result of a case: the ways in which the rule was broken.
type verdict struct{ broken []string }

func (v *verdict) addf(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// cases maps the names of the cases to their scripts.
var cases = map[string]func(ctx context.Context, c *cluster, trouble bool) (verdict, error){
	"cancel":   playCancel,
	"config":   playConfig,
	"settings": playSettings,
	"resend":   playResend,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play runs one case and writes its record.
func play(name, record string, trouble bool) int {
	interrupted, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(interrupted, caseTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "skylarklane-review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCluster(ctx, folder)
	var v verdict
	if err == nil {
		v, err = cases[name](ctx, c, trouble)
	}
	if err == nil {
		err = ctx.Err() // the checks of an interrupted case mean nothing
	}
	c.stop()
	code := exitHeld
	result := "the rule held\n"
	switch {
	case err != nil:
		code, result = exitNotRun, fmt.Sprintf("the case could not run: %v\n", err)
	case len(v.broken) > 0:
		code, result = exitBroken, ""
		for _, line := range v.broken {
			result += "BROKEN: " + line + "\n"
		}
	}
	fmt.Print(result)
	head := fmt.Sprintf("case %s, disruption %v\n%s\nTimes are milliseconds since the start of the stand-ins.\n", name, trouble, result)
	if writeErr := os.WriteFile(record, []byte(head+c.checker.History("")), 0o600); writeErr != nil {
		fmt.Fprintln(os.Stderr, writeErr)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	return code
}
