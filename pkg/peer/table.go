package peer

import (
	"sort"
	"sync"
	"time"
)

const (
	// silentAfter is the time without an exchange after which a peer no longer counts as live.
	silentAfter = 5 * time.Second
	// forgetAfter is the time without an exchange after which a peer is no longer called.
	forgetAfter = 2 * time.Minute
)

// Peer is what the table knows of another instance.
type Peer struct {
	Identity Identity
	Presence Presence
	// LastHeard is when the last exchange with it ended; zero when the peer is only known from others.
	LastHeard time.Time
	// LastLearned is when the peer was last named by a list or another peer, or heard.
	LastLearned time.Time
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

// Heard records an exchange with a peer. A new incarnation replaces the old one.
func (t *Table) Heard(identity Identity, presence Presence) {
	if identity.InstanceID == "" || identity.InstanceID == t.self.InstanceID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.upsert(identity)
	p.Presence = presence
	p.LastHeard = t.now()
	p.LastLearned = p.LastHeard
}

// Learned records that a list or another peer named this instance. Hearsay does not replace what the instance itself
// said while it is live.
func (t *Table) Learned(identity Identity) {
	if identity.InstanceID == "" || identity.InstanceID == t.self.InstanceID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.peers[identity.InstanceID]; known != nil && t.live(known) {
		return
	}
	p := t.upsert(identity)
	p.LastLearned = t.now()
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

// ForgetSilent removes peers that were neither heard nor named for a long time and returns their ids.
func (t *Table) ForgetSilent() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []string
	for id, p := range t.peers {
		if t.now().Sub(p.LastLearned) <= forgetAfter {
			continue
		}
		delete(t.peers, id)
		t.version++
		gone = append(gone, id)
	}
	return gone
}

func (t *Table) live(p *Peer) bool {
	return !p.LastHeard.IsZero() && t.now().Sub(p.LastHeard) <= silentAfter
}

// All returns the known peers ordered by id.
func (t *Table) All() []Peer {
	return t.filter(func(*Peer) bool { return true })
}

// Live returns the peers with a recent exchange, ordered by id.
func (t *Table) Live() []Peer {
	return t.filter(t.live)
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

// Find returns the peer with the id.
func (t *Table) Find(instanceID string) (Peer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[instanceID]
	if p == nil {
		return Peer{}, false
	}
	return *p, true
}

// Version changes whenever the set of known identities changes.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}
