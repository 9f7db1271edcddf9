package process

import (
	"slices"

	"skylarklane.example/lib/wire"
)

// PeerAddresses returns the addresses of the members of a directory and of the control
// hosts.
func PeerAddresses(d *wire.Directory, controlHosts []string) []string {
	addresses := slices.Clone(controlHosts)
	for _, member := range d.GetMembers() {
		addresses = append(addresses, member.GetAddress())
	}
	return addresses
}
