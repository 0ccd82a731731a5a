package residency

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Handover is the word of an instance that has placed models and gives no more orders under its token. It lets the next
// holder order endpoints that have no recent order of the former one before its handover pause has passed.
type Handover struct {
	// Fence is the former holder's token.
	Fence int64
	// Ordered lists the endpoints to which it may have sent orders within the handover pause.
	Ordered []string
	// Loading are the loads that its orders began and that have not ended. The endpoints' reports do not name them.
	Loading []Loading
	// StoreLoads are the ages of its recent loads from the weight store, which count in the window of the next holder too.
	StoreLoads []time.Duration
}

// handoverTime is how long a former holder says so. Afterwards the next one has passed its handover pause.
const handoverTime = 10 * time.Second

// pastTurn is what an instance must tell of its own last turn.
type pastTurn struct {
	fence int64
	// heldAt is when the lease was last seen held.
	heldAt time.Time
	// settled is set once the turn outlasted its handover pause. Before that, orders of an earlier holder may matter that this
	// instance knows nothing about.
	settled bool
	// ordered is the last time at which an order may have been sent, by endpoint id.
	ordered map[string]time.Time
}

// receivedHandover is the word of a former holder.
type receivedHandover struct {
	Handover
	at time.Time
}

// noteTurn records that the lease is held. The controller's lock is not held.
func (c *Controller) noteTurn(fence int64, settled bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.past.fence != fence {
		c.past = pastTurn{fence: fence, ordered: make(map[string]time.Time)}
	}
	c.past.heldAt = now
	c.past.settled = c.past.settled || settled
}

// noteOrder records that an order may be sent from now on. It comes before the check of the lease, so that a handover which
// is composed after the lease was lost has all orders.
func (c *Controller) noteOrder(endpoint string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.past.ordered != nil {
		c.past.ordered[endpoint] = now
	}
}

// Handover returns what this instance has to say as a former holder.
func (c *Controller) Handover(now time.Time) (Handover, bool) {
	if _, held := c.options.Lease.Held(); held {
		return Handover{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.past.settled || now.Sub(c.past.heldAt) >= handoverTime {
		return Handover{}, false
	}
	h := Handover{Fence: c.past.fence}
	for id, at := range c.past.ordered {
		if now.Sub(at) < c.options.HandoverPause {
			h.Ordered = append(h.Ordered, id)
		}
	}
	slices.Sort(h.Ordered)
	h.Loading = c.loading()
	for _, at := range c.storeLoads {
		h.StoreLoads = append(h.StoreLoads, now.Sub(at))
	}
	return h, true
}

// TakeHandover takes over the word of a former holder.
func (c *Controller) TakeHandover(from string, h Handover, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, old := range c.handovers {
		if now.Sub(old.at) >= handoverTime {
			delete(c.handovers, name)
		}
	}
	if old, known := c.handovers[from]; !known || old.Fence != h.Fence {
		c.options.Log.Info("handover received", zap.String("from", from), zap.Int64("fence", h.Fence),
			zap.Strings("ordered", h.Ordered), zap.Int("loading", len(h.Loading)), zap.Int("storeLoads", len(h.StoreLoads)))
	}
	c.handovers[from] = receivedHandover{Handover: h, at: now}
}

// handedOver returns the word of the instance that held the lease right before a token, and false if there is none or it is
// not known who that was. Words from before the turn do not count: an instance that did not renew the lease in time says that
// it gives no orders, and goes on under the same token if a late renewal succeeds. The controller's lock is held.
func (c *Controller) handedOver(token int64) (receivedHandover, bool) {
	if c.options.Previous == nil {
		return receivedHandover{}, false
	}
	name, fence, known := c.options.Previous(token)
	h, received := c.handovers[name]
	return h, known && received && h.Fence == fence && !h.at.Before(c.turnBegan)
}

// mayOrderEarly tells whether an endpoint may be ordered during the handover pause of a turn.
func (c *Controller) mayOrderEarly(endpoint string, token int64) bool {
	h, ok := c.handedOver(token)
	return ok && !slices.Contains(h.Ordered, endpoint)
}

// addHandedLoads adds the models that an endpoint is loading on orders of the former holder. The controller's lock is held.
func (c *Controller) addHandedLoads(state *EndpointState, token int64, now time.Time) {
	h, ok := c.handedOver(token)
	if !ok {
		return
	}
	for _, l := range h.Loading {
		if l.Endpoint != state.ID || !now.Before(l.Ready.Add(doneSlack)) || state.HoldsModel(l.Model) {
			continue
		}
		state.Models = append(slices.Clone(state.Models), fleet.HeldModel{Name: l.Model})
		state.Changing = append(state.Changing, l.Model)
	}
}

// handedLoads counts the former holder's loads from the weight store that fall into a window. The controller's lock is held.
func (c *Controller) handedLoads(token int64, window time.Duration, now time.Time) int {
	h, ok := c.handedOver(token)
	if !ok {
		return 0
	}
	count := 0
	for _, age := range h.StoreLoads {
		if age+now.Sub(h.at) < window {
			count++
		}
	}
	return count
}
