// Agent runs the agent of one worker.
package main

import (
	"os"

	"skylarklane.example/lib/agent"
)

func main() {
	os.Exit(agent.Main(os.Args[1:], os.Stdout))
}
