package cmd

import (
	"github.com/rotisserie/eris"
)

// cmdTry is `skylarklane try`.
type cmdTry struct{}

// Run starts all roles in this process and submits a job.
func (c *cmdTry) Run(*env) error {
	return &Error{Op: "try", Kind: KindFailed, Err: eris.New("not built yet")}
}
