package settings

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"skylarklane.example/lib/wire"
)

// Limits of the values of settings.
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
	minServerBytes     = 2 << 20
	maxServerBytes     = 1 << 40
	minConnections     = 16
	maxConnections     = 1 << 20
	minHeadBytes       = 1024
	maxHeadBytes       = 1 << 20
	maxTimeoutMillis   = 24 * 3_600_000
)

// check returns an error for the first field of m that is missing or out of
// range.
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

// checker checks settings and keeps the first error.
type checker struct {
	lines *Lines
	err   error
}

func (c *checker) control(m *wire.ControlSettings) {
	c.checkRequired("id", m.GetId())
	c.address("listen", m.GetListen())
	c.checkRange("shards", int64(m.GetShards()), 0, maxShards, "shards")
	if m.GetLeaseMillis() != 0 {
		c.checkRange("leaseMillis", m.GetLeaseMillis(), minLeaseMillis, maxLeaseMillis, "milliseconds")
	}
	c.checkRange("retentionMillis", m.GetRetentionMillis(), 0, maxRetentionMillis, "milliseconds")
	c.optionalAddress("advertise", m.GetAdvertise())
	c.peers(m)
	c.seeds(m)
	c.security(m.GetSecurity())
	c.server(m.GetServer())
}

func (c *checker) peers(m *wire.ControlSettings) {
	c.checkRange("peers", int64(len(m.GetPeers())), 0, maxHosts, "hosts")
	seen := map[string]bool{}
	for i, peer := range m.GetPeers() {
		at := fmt.Sprintf("peers[%d]", i)
		c.checkRequired(at+".id", peer.GetId())
		c.address(at+".address", peer.GetAddress())
		if seen[peer.GetId()] {
			c.addError(at+".id", "host %q is listed twice", peer.GetId())
		}
		seen[peer.GetId()] = true
	}
	if len(seen) > 0 && !seen[m.GetId()] {
		c.addError("peers", "the peers must list all hosts of the group, including %q", m.GetId())
	}
}

// seeds checks the seeds and the fields that require or exclude them.
func (c *checker) seeds(m *wire.ControlSettings) {
	c.checkRange("seeds", int64(len(m.GetSeeds())), 0, maxSeeds, "hosts")
	for i, seed := range m.GetSeeds() {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	c.checkRange("toleratedLosses", int64(m.GetToleratedLosses()), 0, maxTolerated, "hosts")
	if len(m.GetSeeds()) > 0 {
		if len(m.GetPeers()) > 0 {
			c.addError("seeds", "seeds and peers are mutually exclusive")
		}
		return
	}
	c.checkRequired("dataFolder", m.GetDataFolder())
	for _, field := range []struct {
		name string
		set  bool
	}{{"found", m.GetFound()}, {"rejoin", m.GetRejoin()}, {"toleratedLosses", m.GetToleratedLosses() > 0}} {
		if field.set {
			c.addError(field.name, "%s requires seeds", field.name)
		}
	}
}

func (c *checker) entry(m *wire.EntrySettings) {
	c.checkRequired("id", m.GetId())
	c.address("listen", m.GetListen())
	c.optionalAddress("advertise", m.GetAdvertise())
	c.addresses("control", m.GetControl())
	c.checkRange("limits.maxBodyBytes", m.GetLimits().GetMaxBodyBytes(), 0, maxBodyBytes, "bytes")
	c.checkRange("limits.maxTasks", int64(m.GetLimits().GetMaxTasks()), 0, maxTaskCount, "tasks")
	c.checkRange("limits.maxQueuedTasks", int64(m.GetLimits().GetMaxQueuedTasks()), 0, maxQueuedTasks, "tasks")
	c.oneOf("placement", m.GetPlacement(), "", "tokens", "twoChoices", "random")
	c.security(m.GetSecurity())
	c.server(m.GetServer())
}

func (c *checker) agent(m *wire.AgentSettings) {
	c.checkRequired("id", m.GetId())
	c.address("listen", m.GetListen())
	c.address("announce", m.GetAnnounce())
	c.optionalAddress("advertise", m.GetAdvertise())
	c.addresses("control", m.GetControl())
	c.security(m.GetSecurity())
	c.server(m.GetServer())
}

// server checks the limits for clients; 0 is the default of each.
func (c *checker) server(m *wire.ServerLimits) {
	for _, field := range []struct {
		name      string
		value     int64
		low, high int64
		unit      string
	}{
		{"memoryBytes", m.GetMemoryBytes(), minServerBytes, maxServerBytes, "bytes"},
		{"maxConnections", int64(m.GetMaxConnections()), minConnections, maxConnections, "connections"},
		{"maxHeadBytes", m.GetMaxHeadBytes(), minHeadBytes, maxHeadBytes, "bytes"},
		{"headTimeoutMillis", m.GetHeadTimeoutMillis(), 1, maxTimeoutMillis, "milliseconds"},
		{"bodyTimeoutMillis", m.GetBodyTimeoutMillis(), 1, maxTimeoutMillis, "milliseconds"},
		{"idleTimeoutMillis", m.GetIdleTimeoutMillis(), 1, maxTimeoutMillis, "milliseconds"},
	} {
		if field.value != 0 {
			c.checkRange("server."+field.name, field.value, field.low, field.high, field.unit)
		}
	}
}

func (c *checker) security(m *wire.Security) {
	if (m.GetCertificateFile() == "") != (m.GetKeyFile() == "") {
		c.addError("security", "certificateFile and keyFile must be set together")
	}
}

func (c *checker) checkRequired(path, value string) {
	if value == "" {
		c.addError(path, "%s is missing", path)
	}
}

func (c *checker) address(path, value string) {
	c.checkRequired(path, value)
	c.optionalAddress(path, value)
}

func (c *checker) optionalAddress(path, value string) {
	if value == "" {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addError(path, "%s is %q; it must be an IP address and a port, such as 10.0.0.1:7000", path, value)
	}
}

func (c *checker) addresses(path string, values []string) {
	if len(values) == 0 {
		c.addError(path, "%s is missing: list the control hosts", path)
	}
	for i, value := range values {
		c.address(fmt.Sprintf("%s[%d]", path, i), value)
	}
}

func (c *checker) checkRange(path string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.addError(path, "%s is %d; it must be from %d to %d %s", path, value, low, high, unit)
	}
}

func (c *checker) oneOf(path, value string, words ...string) {
	for _, word := range words {
		if value == word {
			return
		}
	}
	c.addError(path, "%s is %q%s", path, value, nearest(value, words[1:]))
}

func (c *checker) addError(path, format string, args ...any) {
	if c.err == nil {
		c.err = newError(KindRange, c.lines.At(path), format, args...)
	}
}
