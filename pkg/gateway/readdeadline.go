package gateway

import (
	"sync"
	"time"
)

// readDeadline moves the deadline of reads from a connection until it is ended by another goroutine.
type readDeadline struct {
	set func(time.Time) error

	mu    sync.Mutex
	final bool
}

// move sets the deadline to a time from now.
func (d *readDeadline) move(after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.final {
		_ = d.set(time.Now().Add(after))
	}
}

// end ends a read in progress by a deadline in the past, without a race on closing the connection.
func (d *readDeadline) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.final {
		d.final = true
		_ = d.set(time.Unix(1, 0))
	}
}

// stop removes the deadline, and moves and ends it no more.
func (d *readDeadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.final = true
	_ = d.set(time.Time{})
}
