package edge

import (
	"sync"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// The limits on clients, as metrics and log lines name them.
const (
	limitMemory      = "memory"
	limitRate        = "rate"
	limitHead        = "head_size"
	limitBody        = "body_size"
	limitUnread      = "unread_response"
	limitConnections = "connections"
	limitEndpoint    = "endpoint_bytes"
)

// clientLimits counts the clients that reached a limit, and logs at most one line a second for each limit, so that a
// crowd outside the limits does not fill the log.
type clientLimits struct {
	scope tally.Scope
	log   *zap.Logger

	mu     sync.Mutex
	logged map[string]time.Time
	// unlogged counts the events of a limit since its last line.
	unlogged map[string]int
}

// limitLogInterval is the minimum time between two log lines about one limit.
const limitLogInterval = time.Second

func newClientLimits(scope tally.Scope, log *zap.Logger) *clientLimits {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &clientLimits{scope: scope, log: log, logged: make(map[string]time.Time), unlogged: make(map[string]int)}
}

func (l *clientLimits) record(limit string, fields ...zap.Field) {
	l.scope.Tagged(map[string]string{"limit": limit}).Counter("client_limits").Inc(1)
	now := time.Now()
	l.mu.Lock()
	unlogged := l.unlogged[limit]
	if now.Sub(l.logged[limit]) < limitLogInterval {
		l.unlogged[limit]++
		l.mu.Unlock()
		return
	}
	l.logged[limit], l.unlogged[limit] = now, 0
	l.mu.Unlock()
	l.log.Info("client limit reached", append(fields, zap.String("limit", limit), zap.Int("unlogged", unlogged))...)
}

const (
	// reservedFDs are the descriptors kept for listeners, the store, the instances and refused connections.
	reservedFDs = 64
	// clientFDShare is the share of the other descriptors for clients. A request needs a second one for its endpoint, and
	// the rest is for idle connections to endpoints.
	clientFDShare = 0.4
	// idleFDShare is the share for idle connections to endpoints.
	idleFDShare = 0.2
	// connectionMemoryShare is the share of the memory that connections may take with their goroutines, connectionBytes
	// what one takes at most while it is handled.
	connectionMemoryShare = 0.125
	connectionBytes       = 12 << 10
	// minConnections is accepted in any case.
	minConnections = 16
)

// connectionLimit returns the number of clients' connections for the given number of descriptors and the memory in
// megabytes; zero means that a number is unknown.
func connectionLimit(fds, memoryMB int) int {
	limit := int(float64(fds-reservedFDs) * clientFDShare)
	if memoryMB > 0 {
		limit = min(limit, int(float64(memoryMB<<20)*connectionMemoryShare/connectionBytes))
	}
	return max(limit, minConnections)
}

// idleConnectionLimit returns the number of idle connections to all endpoints for the given number of descriptors.
func idleConnectionLimit(fds int) int {
	return int(float64(fds-reservedFDs) * idleFDShare)
}

// descriptorLimit returns the number of descriptors that the process may use: that of the settings, but no more than the
// operating system allows.
func descriptorLimit(settings *Settings) int {
	limit := settings.MaxFDs
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && (limit <= 0 || system.Cur < uint64(limit)) {
		limit = int(min(system.Cur, maxDescriptors))
	}
	return limit
}

// maxDescriptors bounds the limit of the operating system, which may be none.
const maxDescriptors = 1 << 20
