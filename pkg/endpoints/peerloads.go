package endpoints

import (
	"sort"
	"time"
)

// Instances returns the number of known entry instances, including this one.
func (r *Registry) Instances() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.peers) + 1
}

// LocalLoads returns the in-flight counts of this instance. Endpoints that it used before are included with zero, so
// that a receiver that merges the counts sees calls end. If reports are shared, LocalLoads returns nil. The reports of
// the pollers then contain the sum over all instances, since counts per instance and endpoint would be the largest part
// of the exchange.
func (r *Registry) LocalLoads() []Load {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.sharesReports() {
		return nil
	}
	var loads []Load
	for _, e := range r.entries {
		if e.everUsed {
			loads = append(loads, Load{EndpointHash: e.hash, InFlight: e.ownInFlight})
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].EndpointHash < loads[j].EndpointHash })
	return loads
}

// MergePeerLoads merges the in-flight counts of a peer. Endpoints that are not listed keep their previous count. An
// empty slice only records that the peer is running. A restarted peer must use a new id.
func (r *Registry) MergePeerLoads(peerID string, loads []Load) {
	r.mu.Lock()
	p := r.peer(peerID)
	p.lastReceivedAt = time.Now()
	for _, load := range loads {
		r.addPeerInFlight(load.EndpointHash, load.InFlight-p.inFlight[load.EndpointHash])
		if load.InFlight == 0 {
			delete(p.inFlight, load.EndpointHash)
			continue
		}
		p.inFlight[load.EndpointHash] = load.InFlight
	}
	r.mu.Unlock()
	r.onChange()
}

func (r *Registry) peer(id string) *peer {
	p := r.peers[id]
	if p == nil {
		p = &peer{lastReceivedAt: time.Now(), inFlight: make(map[uint64]int)}
		r.peers[id] = p
	}
	return p
}

// RemovePeer removes a peer and its in-flight counts.
func (r *Registry) RemovePeer(peerID string) {
	r.mu.Lock()
	if p := r.peers[peerID]; p != nil {
		for hash, count := range p.inFlight {
			r.addPeerInFlight(hash, -count)
		}
		delete(r.peers, peerID)
	}
	r.mu.Unlock()
	r.onChange()
}

func (r *Registry) addPeerInFlight(hash uint64, delta int) {
	r.peerInFlight[hash] += delta
	if r.peerInFlight[hash] == 0 {
		delete(r.peerInFlight, hash)
	}
}

func (r *Registry) peersStale(now time.Time) bool {
	for _, p := range r.peers {
		if now.Sub(p.lastReceivedAt) > r.options.StaleAfter {
			return true
		}
	}
	return false
}
