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

// IsRelay tells whether this instance keeps the store watch and the exchange with other data centres. The first in
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
		same := p.Identity.DataCentre == t.self.DataCentre
		return same && t.live(p) && !p.Presence.Draining && rankOf(t.self.DataCentre, p.Identity.InstanceID) < own
	})
}

// Contact returns the instance of another data centre to exchange with: the first in relay order among the live ones,
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
	sort.Slice(candidates, func(i, j int) bool {
		return rankOf(dataCentre, candidates[i].Identity.InstanceID) < rankOf(dataCentre, candidates[j].Identity.InstanceID)
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
