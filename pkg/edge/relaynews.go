package edge

import (
	"slices"
	"sync/atomic"
	"time"
)

// changes are the names of entries that changed or went lately, with the time at which this instance learned of it.
type changes struct {
	changed map[string]time.Time
	gone    map[string]time.Time
}

func newChanges() changes {
	return changes{changed: make(map[string]time.Time), gone: make(map[string]time.Time)}
}

func (c *changes) changedAt(name string, now time.Time) {
	c.changed[name] = now
	delete(c.gone, name)
}

func (c *changes) goneAt(name string, now time.Time) {
	c.gone[name] = now
	delete(c.changed, name)
}

// since returns the names of what changed and of what went since a time, and forgets the others.
func (c *changes) since(t time.Time) (changed, gone []string) {
	return recent(c.changed, t), recent(c.gone, t)
}

// relayNews remembers what changed lately and up to which revision the view of the store was complete at what time, so that
// this instance can tell it as a relay, and when it heard from a relay. The server's viewMu guards it.
type relayNews struct {
	endpoints changes
	instances changes
	// complete lists the revisions up to which the view was complete, the oldest first.
	complete []revisionTime
	heardAt  atomic.Pointer[time.Time]
}

// revisionTime is a revision and the time from which on it was known.
type revisionTime struct {
	revision int64
	at       time.Time
}

func newRelayNews() *relayNews {
	return &relayNews{endpoints: newChanges(), instances: newChanges()}
}

// completeUpTo notes that the view holds all changes up to a revision.
func (n *relayNews) completeUpTo(revision int64, now time.Time) {
	if last := len(n.complete) - 1; last >= 0 && n.complete[last].revision > revision {
		// The store began anew.
		n.complete = nil
	}
	n.complete = append(n.complete, revisionTime{revision, now})
}

// forget drops what changed before a time.
func (n *relayNews) forget(t time.Time) {
	_, from := n.since(t)
	n.endpoints.since(from)
	n.instances.since(from)
}

// since returns the revision up to which the view was complete at or before a time, and a time: all later changes were noted
// since then. Older revisions are forgotten.
func (n *relayNews) since(t time.Time) (after int64, from time.Time) {
	for len(n.complete) > 1 && n.complete[1].at.Before(t) {
		n.complete = n.complete[1:]
	}
	if len(n.complete) == 0 {
		return 0, t
	}
	return n.complete[0].revision, n.complete[0].at
}

func recent(times map[string]time.Time, since time.Time) []string {
	var ids []string
	for id, at := range times {
		if at.Before(since) {
			delete(times, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *relayNews) heard(now time.Time) {
	n.heardAt.Store(&now)
}

// lastHeard returns the time of the last message of a relay that counts; the zero time means that there was none.
func (n *relayNews) lastHeard() time.Time {
	if at := n.heardAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (n *relayNews) heardWithin(d time.Duration, now time.Time) bool {
	return now.Sub(n.lastHeard()) < d
}
