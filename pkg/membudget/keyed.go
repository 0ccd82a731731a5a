package membudget

import "sync"

// Keyed bounds the bytes that each of many holders, such as endpoints, keeps for this process. It is safe for concurrent
// use.
type Keyed struct {
	limit int

	mu    sync.Mutex
	bytes map[string]int
}

// NewKeyed returns an empty Keyed with the same limit for each key.
func NewKeyed(limit int) *Keyed {
	return &Keyed{limit: limit, bytes: make(map[string]int)}
}

// TryTake counts bytes for a key, and returns false if they are too many together with those counted already. The first
// ones are always accepted, so that a single large body is never refused. Large bodies leave 1/smallReserveDivisor to small ones.
func (k *Keyed) TryTake(key string, bytes int) bool {
	if bytes == 0 {
		return true
	}
	available := k.limit
	if bytes > smallBytes {
		available -= available / smallReserveDivisor
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if counted := k.bytes[key]; counted > 0 && counted+bytes > available {
		return false
	}
	k.bytes[key] += bytes
	return true
}

// Return takes back bytes that TryTake has counted.
func (k *Keyed) Return(key string, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.bytes[key] -= bytes; k.bytes[key] <= 0 {
		delete(k.bytes, key)
	}
}
