// Load runs stand-in backend servers and callers, and measures the system.
package main

import (
	"os"

	"skylarklane.example/load/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
