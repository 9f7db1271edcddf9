package control

import "time"

// now is the clock of leases and elections.
func (c *Control) now() time.Time { return time.Now() }
