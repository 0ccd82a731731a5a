package peer

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// relaySilence is the age of store contact at which the next instance in order takes over as relay.
const relaySilence = 5 * time.Second

// rankOf is the rendezvous hash of an instance for a data centre; the lowest comes first.
func rankOf(dataCentre, instanceID string) uint64 {
	return xxhash.Sum64String(dataCentre + "\x00" + instanceID)
}

// pairOf names the pair of two data centres, so that the exchanges with different data centres are spread over instances.
func pairOf(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "\x00" + b
}

// IsContact tells whether this instance keeps the exchange with another data centre: it is the first in order for the pair
// among the live instances of its own.
func (t *Table) IsContact(dataCentre string) bool {
	pair := pairOf(t.self.DataCentre, dataCentre)
	own := rankOf(pair, t.self.InstanceID)
	before := t.filter(func(p *Peer) bool {
		return t.servesHere(p) && rankOf(pair, p.Identity.InstanceID) < own
	})
	return len(before) == 0
}

// servesHere tells whether a peer is a live instance of the own data centre that does not shut down.
func (t *Table) servesHere(p *Peer) bool {
	return p.Identity.DataCentre == t.self.DataCentre && t.live(p) && !p.Presence.Draining
}

// livePeers counts the live peers of the own data centre.
func (t *Table) livePeers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for _, p := range t.peers {
		if p.Identity.DataCentre == t.self.DataCentre && t.live(p) {
			count++
		}
	}
	return count
}

// orderOf is the number of live instances of the own data centre, this one included, that come before the instance in
// relay order.
func (t *Table) orderOf(id string) int {
	rank := rankOf(t.self.DataCentre, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	if rankOf(t.self.DataCentre, t.self.InstanceID) < rank {
		count++
	}
	for _, p := range t.peers {
		if t.servesHere(p) && rankOf(t.self.DataCentre, p.Identity.InstanceID) < rank {
			count++
		}
	}
	return count
}

// IsRelay tells whether this instance keeps the store watch. The first in
// order always does. A later one does while no instance before it had store contact within relaySilence times its
// position; so an outage of the store does not make all instances call it at once.
func (t *Table) IsRelay() bool {
	before := t.before()
	limit := relaySilence * time.Duration(len(before))
	for _, p := range before {
		if p.Presence.StoreContactAge+t.now().Sub(p.LastHeard) <= limit {
			return false
		}
	}
	return true
}

// RelayPosition is the number of live instances of the own data centre that come before this one in relay order.
func (t *Table) RelayPosition() int {
	return len(t.before())
}

// before returns the live peers of the own data centre that come before this instance in relay order.
func (t *Table) before() []Peer {
	own := rankOf(t.self.DataCentre, t.self.InstanceID)
	return t.filter(func(p *Peer) bool {
		return t.servesHere(p) && rankOf(t.self.DataCentre, p.Identity.InstanceID) < own
	})
}

// Contact returns the instance of another data centre to exchange with: the first in order for the pair among the live ones,
// else among all known. Attempt rotates through the known ones when the choice does not answer.
func (t *Table) Contact(dataCentre string, attempt int) (Peer, bool) {
	inDataCentre := func(p *Peer) bool { return p.Identity.DataCentre == dataCentre }
	candidates := t.filter(func(p *Peer) bool { return inDataCentre(p) && t.live(p) })
	if len(candidates) == 0 {
		candidates = t.filter(inDataCentre)
	}
	if len(candidates) == 0 {
		return Peer{}, false
	}
	pair := pairOf(t.self.DataCentre, dataCentre)
	sort.Slice(candidates, func(i, j int) bool {
		return rankOf(pair, candidates[i].Identity.InstanceID) < rankOf(pair, candidates[j].Identity.InstanceID)
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
