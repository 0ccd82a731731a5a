package clientconn

import (
	"sync"
	"time"
)

// Phase is what a connection is doing.
type Phase int

const (
	// Idle means that no byte of a next request has arrived.
	Idle Phase = iota
	// ReadingHead and ReadingBody mean that a part of a request has arrived.
	ReadingHead
	ReadingBody
	// Busy means that a request is being handled.
	Busy
	// Closing means that the last response was written and the connection only waits for the client to close it.
	Closing
)

// State is what decides whether a connection is closed to admit a new one.
type State struct {
	Phase Phase
	// Served is set once the connection has brought a complete request.
	Served bool
	// Age is the time since the phase began.
	Age time.Duration
	// Unread is the time since the write in progress of at most maxWriteBytes of a response began; zero while nothing is
	// written.
	Unread time.Duration
}

// minUnread is the time after which a connection with an unread response may be closed for a new one. It is a third of the time after which it ends in any
// case.
const minUnread = 5 * time.Second

// rank orders connections for closing, the first ones highest. Zero means that the connection is kept: a request whose body is
// on its way is subject to the memory budget and to the minimum rate instead.
func (s State) rank() int {
	switch {
	case s.Phase == Closing:
		return 5
	case s.Phase == Idle && !s.Served:
		return 4
	case s.Phase == ReadingHead && !s.Served:
		return 3
	case s.Phase == Idle:
		return 2
	case s.Phase == Busy && s.Unread >= minUnread:
		return 1
	}
	return 0
}

// waited returns for how long the connection has been as it is.
func (s State) waited() time.Duration {
	if s.Phase == Busy {
		return s.Unread
	}
	return s.Age
}

// VictimFor returns the index of the connection that is closed so that a new one can be accepted, or -1 if there is none:
// connections that only wait to be closed, then those that have never brought a request, then those that wait for the
// next one, then those whose client does not read its response. Within a group, the one that has waited longest is chosen.
//
// The loads that it addresses are connections without end, and streams that nobody reads, next to the reused connections of
// well-behaved clients.
func VictimFor(states []State) int {
	victim := -1
	for i, s := range states {
		if s.rank() == 0 {
			continue
		}
		if victim < 0 || s.rank() > states[victim].rank() || s.rank() == states[victim].rank() && s.waited() > states[victim].waited() {
			victim = i
		}
	}
	return victim
}

// Member is a connection of a Group.
type Member interface {
	comparable
	// State returns what decides whether the connection is closed to admit a new one.
	State(now time.Time) State
	// CloseIn closes the connection, and returns false if it has left the phase.
	CloseIn(phase Phase) bool
}

// Group bounds the number of open connections. It is safe for concurrent use.
type Group[M Member] struct {
	mu    sync.Mutex
	conns map[M]struct{}
}

// NewGroup returns an empty group.
func NewGroup[M Member]() *Group[M] {
	return &Group[M]{conns: make(map[M]struct{})}
}

// Admit adds a connection. If there are limit connections already, it closes the one that VictimFor chooses. It returns false if
// there is none, and whether a connection was closed.
func (g *Group[M]) Admit(c M, limit int) (admitted, closedOne bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= limit {
		victim, found := g.victimLocked()
		if !found {
			return false, false
		}
		delete(g.conns, victim)
		closedOne = true
	}
	g.conns[c] = struct{}{}
	return true, closedOne
}

// victimLocked closes the connection that VictimFor chooses and returns it. A connection whose phase changes meanwhile is
// passed over.
func (g *Group[M]) victimLocked() (victim M, found bool) {
	now := time.Now()
	all := make([]M, 0, len(g.conns))
	states := make([]State, 0, len(g.conns))
	for c := range g.conns {
		all, states = append(all, c), append(states, c.State(now))
	}
	for {
		i := VictimFor(states)
		if i < 0 {
			return victim, false
		}
		if all[i].CloseIn(states[i].Phase) {
			return all[i], true
		}
		// The connection has left its phase. It counts as one that handles a request, whose client reads the response.
		states[i] = State{Phase: Busy}
	}
}

// Remove removes a connection that has ended.
func (g *Group[M]) Remove(c M) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// All returns the open connections.
func (g *Group[M]) All() []M {
	g.mu.Lock()
	defer g.mu.Unlock()
	all := make([]M, 0, len(g.conns))
	for c := range g.conns {
		all = append(all, c)
	}
	return all
}
