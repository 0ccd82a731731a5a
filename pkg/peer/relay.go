package peer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// relayTakeoverAge is the age of a relay's store contact above which the next instance in relay order takes over.
const relayTakeoverAge = 5 * time.Second

// rendezvousRank returns the rendezvous hash of an instance for a key: a data centre or a pair of data centres. The
// instance with the lowest rank is first in order.
func rendezvousRank(key, instanceID string) uint64 {
	return xxhash.Sum64String(key + "\x00" + instanceID)
}

// dataCentrePair returns the key of a pair of data centres. Separate keys spread the exchanges with different data
// centres over the instances.
func dataCentrePair(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "\x00" + b
}

// IsContact reports whether this instance exchanges with another data centre: it is the first in order for the pair
// among the active instances of its own data centre.
func (t *Table) IsContact(dataCentre string) bool {
	pair := dataCentrePair(t.self.DataCentre, dataCentre)
	own := rendezvousRank(pair, t.self.InstanceID)
	predecessors := t.filter(func(p *Peer) bool {
		return t.isActiveLocal(p) && rendezvousRank(pair, p.Identity.InstanceID) < own
	})
	return len(predecessors) == 0
}

// isActiveLocal reports whether a peer is a live instance of the own data centre that is not draining.
func (t *Table) isActiveLocal(p *Peer) bool {
	return p.Identity.DataCentre == t.self.DataCentre && t.isLive(p) && !p.Presence.Draining
}

// liveLocalPeers returns the number of live peers in the own data centre.
func (t *Table) liveLocalPeers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, p := range t.peers {
		if p.Identity.DataCentre == t.self.DataCentre && t.isLive(p) {
			count++
		}
	}
	return count
}

// relayPositionOf returns the number of active instances of the own data centre, including this one, that precede the
// given instance in relay order.
func (t *Table) relayPositionOf(id string) int {
	rank := rendezvousRank(t.self.DataCentre, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	if rendezvousRank(t.self.DataCentre, t.self.InstanceID) < rank {
		count++
	}
	for _, p := range t.peers {
		if t.isActiveLocal(p) && rendezvousRank(t.self.DataCentre, p.Identity.InstanceID) < rank {
			count++
		}
	}
	return count
}

// IsRelay reports whether this instance is a relay, which watches the store. The first instance in relay order always
// is. A later instance is a relay while none of its predecessors had store contact within relayTakeoverAge times its
// position. During a store outage instances therefore become relays one after the other instead of calling the store
// all at once.
func (t *Table) IsRelay() bool {
	predecessors := t.predecessors()
	limit := relayTakeoverAge * time.Duration(len(predecessors))
	for _, p := range predecessors {
		if p.Presence.StoreContactAge+t.now().Sub(p.LastExchange) <= limit {
			return false
		}
	}
	return true
}

// RelayPosition returns the number of active instances of the own data centre that precede this one in relay order.
func (t *Table) RelayPosition() int {
	return len(t.predecessors())
}

// predecessors returns the active peers of the own data centre that precede this instance in relay order.
func (t *Table) predecessors() []Peer {
	own := rendezvousRank(t.self.DataCentre, t.self.InstanceID)
	return t.filter(func(p *Peer) bool {
		return t.isActiveLocal(p) && rendezvousRank(t.self.DataCentre, p.Identity.InstanceID) < own
	})
}

// Contact returns the instance of another data centre to exchange with: the first in order for the pair among its live
// instances, or among all known ones if none is live. A higher attempt selects the next instance, for retries when one
// does not respond.
func (t *Table) Contact(dataCentre string, attempt int) (Peer, bool) {
	inDataCentre := func(p *Peer) bool { return p.Identity.DataCentre == dataCentre }
	candidates := t.filter(func(p *Peer) bool { return inDataCentre(p) && t.isLive(p) })
	if len(candidates) == 0 {
		candidates = t.filter(inDataCentre)
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	pair := dataCentrePair(t.self.DataCentre, dataCentre)
	sort.Slice(candidates, func(i, j int) bool {
		return rendezvousRank(pair, candidates[i].Identity.InstanceID) <
			rendezvousRank(pair, candidates[j].Identity.InstanceID)
	})
	return candidates[attempt%len(candidates)], true
}

// DataCentres returns the names of the other data centres with known instances, sorted.
func (t *Table) DataCentres() []string {
	seen := make(map[string]bool)
	var names []string
	for _, p := range t.All() {
		name := p.Identity.DataCentre
		if name == t.self.DataCentre || seen[name] {
			continue
		}
		seen[name] = true
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
