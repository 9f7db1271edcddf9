// Entry runs one entry.
package main

import (
	"os"

	"skylarklane.example/lib/entry"
)

func main() {
	os.Exit(entry.Main(os.Args[1:], os.Stdout))
}
