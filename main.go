// Skylarklane is the command-line tool for operators and callers.
package main

import (
	_ "embed"
	"os"

	"skylarklane.example/skylarklane/internal/cmd"
)

//go:embed version.txt
var version string

func main() {
	os.Exit(cmd.Main(os.Args[1:], version, os.Stdout, os.Stderr))
}
