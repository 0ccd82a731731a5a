package edge

import "sync"

// broadcast wakes all goroutines that wait for an event. The zero value is ready to use; it is safe for concurrent use.
type broadcast struct {
	mu sync.Mutex
	// event is closed at the next event; nil if nobody has waited for it.
	event chan struct{}
}

// next returns a channel that is closed at the next event.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.event == nil {
		b.event = make(chan struct{})
	}
	return b.event
}

func (b *broadcast) signal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.event != nil {
		close(b.event)
		b.event = nil
	}
}
