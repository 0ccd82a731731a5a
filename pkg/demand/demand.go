// Package demand counts arrivals, tokens and waiting calls per model and adapter id, for this instance and its peers.
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
	// Requests and Tokens count arrivals since the incarnation started; Tokens is estimated input plus output.
	Requests uint64
	Tokens   uint64
	// Waiting counts calls that wait for a loaded copy now.
	Waiting int
}

// Tracker holds this instance's demand and what peers told. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	own     map[string]*Count
	peers   map[string]*peer
	removed []string // oldest first
	retired map[string]Count
}

type peer struct {
	counts  map[string]Count
	removed bool
}

// rememberedPeers is the number of removed peers whose counts are kept apart, so that a peer that was removed during a
// partition and returns is not counted twice.
const rememberedPeers = 32

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		own:     make(map[string]*Count),
		peers:   make(map[string]*peer),
		retired: make(map[string]Count),
	}
}

// Arrive counts a call. Tokens is the estimate of input plus output tokens.
func (t *Tracker) Arrive(model string, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.count(model)
	c.Requests++
	c.Tokens += uint64(max(0, tokens))
}

// Wait adds delta to the number of calls that wait for a loaded copy.
func (t *Tracker) Wait(model string, delta int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(model).Waiting += delta
}

func (t *Tracker) count(model string) *Count {
	c := t.own[model]
	if c == nil {
		c = &Count{Model: model}
		t.own[model] = c
	}
	return c
}

// Local returns this instance's demand, ordered by model.
func (t *Tracker) Local() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make([]Count, 0, len(t.own))
	for _, c := range t.own {
		counts = append(counts, *c)
	}
	return sorted(counts)
}

// SetPeer merges a peer's demand. Its cumulative counts only grow, so an exchange that arrives out of order changes
// nothing; models that are not named keep their last count. A restarted peer must come under a new id.
func (t *Tracker) SetPeer(peerID string, counts []Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[peerID]
	if p == nil {
		p = &peer{counts: make(map[string]Count)}
		t.peers[peerID] = p
	}
	if p.removed {
		p.removed = false
		t.removed = slices.DeleteFunc(t.removed, func(id string) bool { return id == peerID })
	}
	for _, c := range counts {
		old := p.counts[c.Model]
		if c.Requests < old.Requests || c.Tokens < old.Tokens {
			continue
		}
		p.counts[c.Model] = c
	}
}

// RemovePeer forgets a peer's waiting calls and keeps its arrivals in Total.
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
	t.removed = append(t.removed, peerID)
	if len(t.removed) > rememberedPeers {
		t.retire(t.removed[0])
		t.removed = t.removed[1:]
	}
}

func (t *Tracker) retire(peerID string) {
	for model, c := range t.peers[peerID].counts {
		t.retired[model] = add(t.retired[model], c)
	}
	delete(t.peers, peerID)
}

// Total returns the sum over all instances, ordered by model. Requests and Tokens never decrease, so that a rate computed
// from two totals is never negative.
func (t *Tracker) Total() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[string]Count, len(t.own))
	for model, c := range t.retired {
		sums[model] = c
	}
	for model, c := range t.own {
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
	return sorted(counts)
}

func add(a, b Count) Count {
	a.Requests += b.Requests
	a.Tokens += b.Tokens
	a.Waiting += b.Waiting
	return a
}

func sorted(counts []Count) []Count {
	sort.Slice(counts, func(i, j int) bool { return counts[i].Model < counts[j].Model })
	return counts
}
