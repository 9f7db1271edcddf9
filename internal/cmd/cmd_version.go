package cmd

import "fmt"

// cmdVersion is `skylarklane version`.
type cmdVersion struct{}

// Run prints the version.
func (c *cmdVersion) Run(e *env) error {
	_, err := fmt.Fprintln(e.out, e.version)
	return err
}
