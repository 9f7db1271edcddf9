// Load runs stand-in backend servers and callers, and measures the system.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "load: not built yet")
	os.Exit(1)
}
