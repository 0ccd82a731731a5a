package link

import (
	"sync"
	"time"
)

// deadline is a read deadline that can be changed while a read waits.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	done  chan struct{}
}

func newDeadline() *deadline {
	return &deadline{done: make(chan struct{})}
}

// expired returns a channel that is closed when the current deadline passes. Changing the deadline before it passes
// keeps the channel. Servers set a deadline before they read, or one in the past to interrupt a read.
func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.done
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	if isClosed(d.done) {
		d.done = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	wait := time.Until(t)
	if wait <= 0 {
		close(d.done)
		return
	}
	done := d.done
	d.timer = time.AfterFunc(wait, func() { d.expire(done) })
}

// expire closes the channel unless set has replaced it.
func (d *deadline) expire(done chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.done == done && !isClosed(done) {
		close(done)
	}
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
