// Package demand counts arrivals, tokens and waiting calls per model and adapter id, at this instance and its peers.
package demand

import (
	"slices"
	"sort"
	"sync"
)

// Count is the demand for one model or adapter.
type Count struct {
	// Model is a model or adapter id.
	Model string
	// Requests and Tokens count arrivals since the incarnation started. Tokens is the estimate of input plus output
	// tokens.
	Requests uint64
	Tokens   uint64
	// Waiting counts the calls that currently wait for a loaded copy.
	Waiting int
}

// Tracker counts this instance's demand and the demand reported by peers. It is safe for concurrent use.
type Tracker struct {
	mu           sync.Mutex
	local        map[string]*Count
	peers        map[string]*peer
	removedPeers []string // oldest first
	// retiredTotals are the sums of the counts of removed peers that are no longer kept per peer.
	retiredTotals map[string]Count
}

type peer struct {
	counts  map[string]Count
	removed bool
}

// maxRemovedPeers is the number of removed peers whose counts are kept per peer. A peer that was removed during a
// partition and returns is then not counted twice.
const maxRemovedPeers = 32

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		local:         make(map[string]*Count),
		peers:         make(map[string]*peer),
		retiredTotals: make(map[string]Count),
	}
}

// RecordArrival counts a call. tokens is the estimate of input plus output tokens.
func (t *Tracker) RecordArrival(model string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.localCount(model)
	c.Requests++
	c.Tokens += uint64(max(0, tokens))
}

// AddWaiting adds delta to the number of calls that wait for a loaded copy.
func (t *Tracker) AddWaiting(model string, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.localCount(model).Waiting += delta
}

func (t *Tracker) localCount(model string) *Count {
	c := t.local[model]
	if c == nil {
		c = &Count{Model: model}
		t.local[model] = c
	}
	return c
}

// LocalCounts returns this instance's demand, sorted by model.
func (t *Tracker) LocalCounts() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]Count, 0, len(t.local))
	for _, c := range t.local {
		counts = append(counts, *c)
	}
	return sortByModel(counts)
}

// MergePeerCounts merges a peer's demand. Cumulative counts only grow, so a count with fewer requests or tokens than
// before is outdated and ignored. Models that are missing from counts keep their last count. A restarted peer must use a
// new id.
func (t *Tracker) MergePeerCounts(peerID string, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peerID]
	if p == nil {
		p = &peer{counts: make(map[string]Count)}
		t.peers[peerID] = p
	}
	if p.removed {
		p.removed = false
		t.removedPeers = slices.DeleteFunc(t.removedPeers, func(id string) bool { return id == peerID })
	}
	for _, c := range counts {
		previous := p.counts[c.Model]
		if c.Requests < previous.Requests || c.Tokens < previous.Tokens {
			continue
		}
		p.counts[c.Model] = c
	}
}

// RemovePeer removes a peer's waiting calls. The peer's arrivals stay in Total.
func (t *Tracker) RemovePeer(peerID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peerID]
	if p == nil || p.removed {
		return
	}
	for model, c := range p.counts {
		c.Waiting = 0
		p.counts[model] = c
	}
	p.removed = true
	t.removedPeers = append(t.removedPeers, peerID)
	if len(t.removedPeers) > maxRemovedPeers {
		t.retirePeer(t.removedPeers[0])
		t.removedPeers = t.removedPeers[1:]
	}
}

func (t *Tracker) retirePeer(peerID string) {
	for model, c := range t.peers[peerID].counts {
		t.retiredTotals[model] = add(t.retiredTotals[model], c)
	}
	delete(t.peers, peerID)
}

// Total returns the sum over all instances, sorted by model. Requests and Tokens never decrease, so a rate computed
// from two totals is never negative.
func (t *Tracker) Total() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]Count, len(t.local))
	for model, c := range t.retiredTotals {
		sums[model] = c
	}
	for model, c := range t.local {
		sums[model] = add(sums[model], *c)
	}
	for _, p := range t.peers {
		for model, c := range p.counts {
			sums[model] = add(sums[model], c)
		}
	}
	counts := make([]Count, 0, len(sums))
	for model, c := range sums {
		c.Model = model
		counts = append(counts, c)
	}
	return sortByModel(counts)
}

func add(a, b Count) Count {
	a.Requests += b.Requests
	a.Tokens += b.Tokens
	a.Waiting += b.Waiting
	return a
}

func sortByModel(counts []Count) []Count {
	sort.Slice(counts, func(i, j int) bool { return counts[i].Model < counts[j].Model })
	return counts
}
