// Control runs one host of the control group.
package main

import (
	"os"

	"skylarklane.example/lib/control"
)

func main() {
	os.Exit(control.Main(os.Args[1:], os.Stdout))
}
