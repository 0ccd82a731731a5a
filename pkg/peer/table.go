package peer

import (
	"sort"
	"sync"
	"time"
)

const (
	// livenessTimeout is the time without an exchange after which a peer is no longer live.
	livenessTimeout = 5 * time.Second
	// removalTimeout is the time without an exchange or a mention after which a peer is removed and no longer called. It
	// is also the minimum silence of a load source before its removal.
	removalTimeout = 2 * time.Minute
)

// Peer is the entry of another instance in the table.
type Peer struct {
	Identity Identity
	Presence Presence
	// LastExchange is when the last exchange with the peer ended; zero when the peer was only mentioned so far.
	LastExchange time.Time
	// LastMentioned is when the peer was last named by an instance list or by another peer, or last exchanged messages.
	LastMentioned time.Time
}

// Table is the set of known peers. It is safe for concurrent use.
type Table struct {
	self Identity
	now  func() time.Time

	mu      sync.Mutex
	peers   map[string]*Peer
	version uint64
}

// NewTable returns a table without peers.
func NewTable(self Identity, now func() time.Time) *Table {
	return &Table{self: self, now: now, peers: make(map[string]*Peer), version: 1}
}

// RecordExchange records an exchange with a peer. A new incarnation replaces the previous one.
func (t *Table) RecordExchange(identity Identity, presence Presence) {
	if identity.InstanceID == "" || identity.InstanceID == t.self.InstanceID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.upsert(identity)
	p.Presence = presence
	p.LastExchange = t.now()
	p.LastMentioned = p.LastExchange
}

// RecordMention records that an instance list or another peer named the instance. It does not replace the identity that
// a live instance itself reported.
func (t *Table) RecordMention(identity Identity) {
	if identity.InstanceID == "" || identity.InstanceID == t.self.InstanceID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[identity.InstanceID]; known != nil && t.isLive(known) {
		return
	}
	p := t.upsert(identity)
	p.LastMentioned = t.now()
}

func (t *Table) upsert(identity Identity) *Peer {
	p := t.peers[identity.InstanceID]
	if p == nil {
		p = &Peer{}
		t.peers[identity.InstanceID] = p
	}
	if p.Identity != identity {
		p.Identity = identity
		t.version++
	}
	return p
}

// RemoveSilent removes the peers with neither an exchange nor a mention within removalTimeout and returns their ids.
func (t *Table) RemoveSilent() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var removed []string
	for id, p := range t.peers {
		if t.now().Sub(p.LastMentioned) <= removalTimeout {
			continue
		}
		delete(t.peers, id)
		t.version++
		removed = append(removed, id)
	}
	return removed
}

func (t *Table) isLive(p *Peer) bool {
	return !p.LastExchange.IsZero() && t.now().Sub(p.LastExchange) <= livenessTimeout
}

// All returns the known peers ordered by id.
func (t *Table) All() []Peer {
	return t.filter(func(*Peer) bool { return true })
}

// Live returns the peers with an exchange within livenessTimeout, ordered by id.
func (t *Table) Live() []Peer {
	return t.filter(t.isLive)
}

func (t *Table) filter(keep func(*Peer) bool) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept []Peer
	for _, p := range t.peers {
		if keep(p) {
			kept = append(kept, *p)
		}
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].Identity.InstanceID < kept[j].Identity.InstanceID })
	return kept
}

// Find returns the peer with the given id.
func (t *Table) Find(instanceID string) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instanceID]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// Version returns a number that increases whenever the set of known identities changes.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}
