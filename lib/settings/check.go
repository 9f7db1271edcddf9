package settings

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Ranges of settings.
const (
	maxShards          = 65_536
	minLeaseMillis     = 100
	maxLeaseMillis     = 600_000
	maxRetentionMillis = 30 * 24 * 3_600_000
	maxHosts           = 7
	maxSeeds           = 16
	maxTolerated       = 3
	maxBodyBytes       = 1 << 30
	maxTaskCount       = 1_000_000
	maxQueuedTasks     = 10_000_000
)

// check tells what is missing in m or outside its range.
func check(lines *Lines, m proto.Message) error {
	c := &checker{lines: lines}
	switch m := m.(type) {
	case *wire.ControlSettings:
		c.control(m)
	case *wire.EntrySettings:
		c.entry(m)
	case *wire.AgentSettings:
		c.agent(m)
	}
	return c.err
}

// checker keeps the first thing that is wrong.
type checker struct {
	lines *Lines
	err   error
}

func (c *checker) control(m *wire.ControlSettings) {
	c.text("id", m.GetId())
	c.address("listen", m.GetListen())
	c.within("shards", int64(m.GetShards()), 0, maxShards, "shards")
	if m.GetLeaseMillis() != 0 {
		c.within("leaseMillis", m.GetLeaseMillis(), minLeaseMillis, maxLeaseMillis, "milliseconds")
	}
	c.within("retentionMillis", m.GetRetentionMillis(), 0, maxRetentionMillis, "milliseconds")
	c.optionalAddress("advertise", m.GetAdvertise())
	c.peers(m)
	c.seeds(m)
	c.security(m.GetSecurity())
}

func (c *checker) peers(m *wire.ControlSettings) {
	c.within("peers", int64(len(m.GetPeers())), 0, maxHosts, "hosts")
	seen := map[string]bool{}
	for i, peer := range m.GetPeers() {
		at := fmt.Sprintf("peers[%d]", i)
		c.text(at+".id", peer.GetId())
		c.address(at+".address", peer.GetAddress())
		if seen[peer.GetId()] {
			c.wrong(at+".id", "host %q is there twice", peer.GetId())
		}
		seen[peer.GetId()] = true
	}
	if len(seen) > 0 && !seen[m.GetId()] {
		c.wrong("peers", "the peers must name all hosts of the group, %q included", m.GetId())
	}
}

// seeds checks what a host that is told only seeds may have.
func (c *checker) seeds(m *wire.ControlSettings) {
	c.within("seeds", int64(len(m.GetSeeds())), 0, maxSeeds, "hosts")
	for i, seed := range m.GetSeeds() {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.within("toleratedLosses", int64(m.GetToleratedLosses()), 0, maxTolerated, "hosts")
	if len(m.GetSeeds()) > 0 {
		if len(m.GetPeers()) > 0 {
			c.wrong("seeds", "seeds and peers exclude each other")
		}
		return
	}
	c.text("dataFolder", m.GetDataFolder())
	for _, field := range []struct {
		name string
		set  bool
	}{{"found", m.GetFound()}, {"rejoin", m.GetRejoin()}, {"toleratedLosses", m.GetToleratedLosses() > 0}} {
		if field.set {
			c.wrong(field.name, "%s needs seeds", field.name)
		}
	}
}

func (c *checker) entry(m *wire.EntrySettings) {
	c.text("id", m.GetId())
	c.address("listen", m.GetListen())
	c.optionalAddress("advertise", m.GetAdvertise())
	c.addresses("control", m.GetControl())
	c.within("limits.maxBodyBytes", m.GetLimits().GetMaxBodyBytes(), 0, maxBodyBytes, "bytes")
	c.within("limits.maxTasks", int64(m.GetLimits().GetMaxTasks()), 0, maxTaskCount, "tasks")
	c.within("limits.maxQueuedTasks", int64(m.GetLimits().GetMaxQueuedTasks()), 0, maxQueuedTasks, "tasks")
	c.oneOf("placement", m.GetPlacement(), "", "tokens", "twoChoices", "random")
	c.security(m.GetSecurity())
}

func (c *checker) agent(m *wire.AgentSettings) {
	c.text("id", m.GetId())
	c.address("listen", m.GetListen())
	c.address("announce", m.GetAnnounce())
	c.optionalAddress("advertise", m.GetAdvertise())
	c.addresses("control", m.GetControl())
	c.security(m.GetSecurity())
}

func (c *checker) security(m *wire.Security) {
	if (m.GetCertificateFile() == "") != (m.GetKeyFile() == "") {
		c.wrong("security", "certificateFile and keyFile go together")
	}
}

func (c *checker) text(path, value string) {
	if value == "" {
		c.wrong(path, "%s is missing", path)
	}
}

func (c *checker) address(path, value string) {
	c.text(path, value)
	c.optionalAddress(path, value)
}

func (c *checker) optionalAddress(path, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.wrong(path, "%s is %q; it must be an IP number and a port, such as 10.0.0.1:7000", path, value)
	}
}

func (c *checker) addresses(path string, values []string) {
	if len(values) == 0 {
		c.wrong(path, "%s is missing: name the control hosts", path)
	}
	for i, value := range values {
		c.address(fmt.Sprintf("%s[%d]", path, i), value)
	}
}

func (c *checker) within(path string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.wrong(path, "%s is %d; it must be from %d to %d %s", path, value, low, high, unit)
	}
}

func (c *checker) oneOf(path, value string, words ...string) {
	for _, word := range words {
		if value == word {
			return
		}
	}
	c.wrong(path, "%s is %q%s", path, value, nearest(value, words[1:]))
}

func (c *checker) wrong(path, format string, args ...any) {
	if c.err == nil {
		c.err = failed(KindRange, c.lines.At(path), format, args...)
	}
}
