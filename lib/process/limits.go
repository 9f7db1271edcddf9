package process

import (
	"sync/atomic"
	"syscall"
	"time"

	"skylarklane.example/lib/wire"
)

// Defaults of the limits. Each is above what a client within the legal sizes and
// times uses: heads of 16,384 bytes that arrive within 3 s, and 15 s without a
// request.
const (
	defaultMemoryBytes    = 64 << 20
	defaultMaxConnections = 4096
	defaultMaxHeadBytes   = 32 << 10
	defaultHeadTimeout    = 5 * time.Second
	defaultBodyTimeout    = 10 * time.Second
	// defaultIdleTimeout exceeds the 5 minutes for which members keep unused
	// connections, so that a member never sends a request on a connection that is
	// being closed for this reason.
	defaultIdleTimeout = 6 * time.Minute
)

const (
	// minMemoryBytes is the least memory that admits a request of legal size.
	minMemoryBytes = 2 << 20
	// minConnections is the least number of connections.
	minConnections = 16
	// reservedFiles are the descriptors that are left for files.
	reservedFiles = 200
)

// Limits bound what the clients of a process may use of it.
type Limits struct {
	// MemoryBytes is the memory for connections and for requests that are being
	// received or handled.
	MemoryBytes int64
	// MaxConnections is the number of open connections.
	MaxConnections int
	// MaxHeadBytes is the size of a request's head.
	MaxHeadBytes int
	// HeadTimeout is the time for a head to arrive, BodyTimeout that in which a body
	// must make progress, or the client must read some of an answer, and IdleTimeout
	// that after which a connection without a request is closed.
	HeadTimeout, BodyTimeout, IdleTimeout time.Duration
}

// NewLimits returns the limits of the settings, with a default for each that is not
// set.
func NewLimits(cfg *wire.ServerLimits) Limits {
	l := Limits{
		MemoryBytes:    orDefault(cfg.GetMemoryBytes(), defaultMemoryBytes),
		MaxConnections: int(orDefault(int64(cfg.GetMaxConnections()), int64(connectionsFor(maxOpenFiles())))),
		MaxHeadBytes:   int(orDefault(cfg.GetMaxHeadBytes(), defaultMaxHeadBytes)),
		HeadTimeout:    orDefault(time.Duration(cfg.GetHeadTimeoutMillis())*time.Millisecond, defaultHeadTimeout),
		BodyTimeout:    orDefault(time.Duration(cfg.GetBodyTimeoutMillis())*time.Millisecond, defaultBodyTimeout),
		IdleTimeout:    orDefault(time.Duration(cfg.GetIdleTimeoutMillis())*time.Millisecond, defaultIdleTimeout),
	}
	l.MemoryBytes = max(l.MemoryBytes, minMemoryBytes)
	l.MaxConnections = max(l.MaxConnections, minConnections)
	return l
}

// DeriveLimits returns the limits of a process that may use memoryBytes of memory
// and maxFiles descriptors; 0 is unknown.
func DeriveLimits(memoryBytes, maxFiles int64) Limits {
	if maxFiles <= 0 {
		maxFiles = maxOpenFiles()
	}
	l := NewLimits(&wire.ServerLimits{MemoryBytes: memoryBytes / memoryDivisor})
	// At most half of the memory is for connections without a request.
	l.MaxConnections = max(minConnections, min(connectionsFor(maxFiles), int(l.MemoryBytes/2/connectionCost)))
	return l
}

// maxRaisedHeadBytes is the largest size of a head to which AddressLimits can raise
// the limit.
const maxRaisedHeadBytes = 1 << 20

// AddressLimits are the limits for the clients of one address, which may change at run
// time. Open connections obey a change, too. The memory and the connections of the
// process stay bounded as before. Clients of the address are not regarded as members.
type AddressLimits struct {
	process Limits
	current atomic.Pointer[Limits]
}

// NewAddressLimits returns the limits of the process until they are changed.
func NewAddressLimits(l *Limiter) *AddressLimits {
	a := &AddressLimits{process: l.limits}
	a.Set(0, 0, 0)
	return a
}

// Set changes the size of a head, the time for it to arrive, and the time without a
// request after which a connection is closed. 0 is the limit of the process.
func (a *AddressLimits) Set(maxHeadBytes int64, headTimeout, idleTimeout time.Duration) {
	l := a.process
	l.MaxHeadBytes = int(min(orDefault(maxHeadBytes, int64(l.MaxHeadBytes)), max(maxRaisedHeadBytes, int64(l.MaxHeadBytes))))
	l.HeadTimeout = orDefault(headTimeout, l.HeadTimeout)
	l.IdleTimeout = orDefault(idleTimeout, l.IdleTimeout)
	a.current.Store(&l)
}

// memoryDivisor is the inverse of the part of a process's memory that its clients
// may use. The garbage collector lets the heap grow to twice what is in use, and the
// program itself needs about 30 MB of the 144 MB of the smallest machines.
const memoryDivisor = 6

// connectionsFor returns how many connections of clients a process may accept. The
// other half of its descriptors is for connections to others.
func connectionsFor(maxFiles int64) int {
	return int(min(defaultMaxConnections, max(minConnections, (maxFiles-reservedFiles)/2)))
}

// maxOpenFiles returns the process's limit of open descriptors.
func maxOpenFiles() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 1024 // the usual limit
	}
	return int64(min(limit.Cur, 1<<20))
}

// orDefault returns n, or the default if n is not positive.
func orDefault[T int64 | time.Duration](n, fallback T) T {
	if n <= 0 {
		return fallback
	}
	return n
}
