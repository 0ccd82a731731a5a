package clientconn

import "syscall"

const (
	// reservedFDs are the descriptors that connections to clients and endpoints do not use: the platform keeps 200 of
	// maxFds for files, and the rest is for listeners, the store, the instances and refused connections.
	reservedFDs = 256
	// clientFDShare is the share of the other descriptors for clients. A request needs a second one for its endpoint, and
	// the rest is for idle connections to endpoints.
	clientFDShare = 0.45
	// idleFDShare is the share for idle connections to endpoints.
	idleFDShare = 0.1
	// connectionMemoryShare is the share of the memory that connections may take.
	connectionMemoryShare = 0.125
	// minConnections is accepted in any case.
	minConnections = 16
)

// ConnectionBytes is what a Conn takes with its goroutines, without what is in the memory budget.
const ConnectionBytes = 12 << 10

// ConnectionLimit returns the number of clients' connections for the given number of descriptors and the memory in
// megabytes, of which zero means that it is unknown. A connection takes connectionBytes.
func ConnectionLimit(fds, memoryMB, connectionBytes int) int {
	limit := int(float64(fds-reservedFDs) * clientFDShare)
	if memoryMB > 0 {
		limit = min(limit, int(float64(memoryMB<<20)*connectionMemoryShare/float64(connectionBytes)))
	}
	return max(limit, minConnections)
}

// IdleConnectionLimit returns the number of idle connections to all endpoints for the given number of descriptors.
func IdleConnectionLimit(fds int) int {
	return int(float64(fds-reservedFDs) * idleFDShare)
}

// DescriptorLimit returns the number of descriptors that the process may use: that of the settings, if it is not zero, but
// no more than the operating system allows.
func DescriptorLimit(maxFDs int) int {
	limit := maxFDs
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && (limit <= 0 || system.Cur < uint64(limit)) {
		limit = int(min(system.Cur, maxDescriptors))
	}
	return limit
}

// maxDescriptors bounds the limit of the operating system, which may be none.
const maxDescriptors = 1 << 20
