package residency

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Handover is the final report of an instance that held the lease and gives no more orders under its token. It lets the
// next holder send orders during its handover pause to endpoints without a recent order of the previous holder.
type Handover struct {
	// FencingToken is the fencing token of the previous holder.
	FencingToken int64
	// Ordered lists the endpoints to which the previous holder may have sent orders within the handover pause.
	Ordered []string
	// Loading are the unfinished loads that the previous holder ordered. The endpoints' reports do not list them.
	Loading []Loading
	// StoreLoadAges are the ages of the previous holder's recent loads from the weight store. These loads also count in
	// the next holder's window.
	StoreLoadAges []time.Duration
}

// handoverReportTime is how long a previous holder sends its handover. By then the next holder's handover pause is
// over.
const handoverReportTime = 10 * time.Second

// termRecord is what an instance records of its own most recent lease term for the handover.
type termRecord struct {
	token int64
	// lastHeldAt is when the lease was last known to be held.
	lastHeldAt time.Time
	// pauseOver is set once the term has outlasted its handover pause. Before that, orders of an earlier holder that
	// this instance does not know of may still arrive.
	pauseOver bool
	// orderSentAt is the last time at which an order may have been sent, by endpoint id.
	orderSentAt map[string]time.Time
}

// receivedHandover is a handover received from a previous holder.
type receivedHandover struct {
	Handover
	receivedAt time.Time
}

// recordTerm records that the lease is held. The controller's lock must not be held.
func (c *Controller) recordTerm(token int64, pauseOver bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastTerm.token != token {
		c.lastTerm = termRecord{token: token, orderSentAt: make(map[string]time.Time)}
	}
	c.lastTerm.lastHeldAt = now
	c.lastTerm.pauseOver = c.lastTerm.pauseOver || pauseOver
}

// recordOrder records that an order may be sent from now on. It is called before the lease is checked, so a handover
// composed after the lease was lost lists every order.
func (c *Controller) recordOrder(endpoint string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastTerm.orderSentAt != nil {
		c.lastTerm.orderSentAt[endpoint] = now
	}
}

// Handover returns the handover to send. It returns false if this instance holds the lease, its last term did not
// outlast the handover pause, or that term ended handoverReportTime ago or earlier.
func (c *Controller) Handover(now time.Time) (Handover, bool) {
	if _, held := c.options.Lease.Held(); held {
		return Handover{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastTerm.pauseOver || now.Sub(c.lastTerm.lastHeldAt) >= handoverReportTime {
		return Handover{}, false
	}
	h := Handover{FencingToken: c.lastTerm.token}
	for id, sentAt := range c.lastTerm.orderSentAt {
		if now.Sub(sentAt) < c.options.HandoverPause {
			h.Ordered = append(h.Ordered, id)
		}
	}
	slices.Sort(h.Ordered)
	h.Loading = c.loadingLocked()
	for _, startedAt := range c.storeLoadStarts {
		h.StoreLoadAges = append(h.StoreLoadAges, now.Sub(startedAt))
	}
	return h, true
}

// ReceiveHandover stores a handover received from another instance.
func (c *Controller) ReceiveHandover(from string, h Handover, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, old := range c.handovers {
		if now.Sub(old.receivedAt) >= handoverReportTime {
			delete(c.handovers, name)
		}
	}
	if old, known := c.handovers[from]; !known || old.FencingToken != h.FencingToken {
		c.options.Log.Info("handover received", zap.String("from", from), zap.Int64("fence", h.FencingToken),
			zap.Strings("ordered", h.Ordered), zap.Int("loading", len(h.Loading)), zap.Int("storeLoads", len(h.StoreLoadAges)))
	}
	c.handovers[from] = receivedHandover{Handover: h, receivedAt: now}
}

// previousHandover returns the handover of the instance that held the lease right before the term of a token. It
// returns false if none was received or the previous holder is not known. Handovers received before the term began are
// ignored: an instance that did not renew the lease in time sends a handover, but continues under the same token if a
// late renewal succeeds. The controller's lock is held.
func (c *Controller) previousHandover(token int64) (receivedHandover, bool) {
	if c.options.PreviousHolder == nil {
		return receivedHandover{}, false
	}
	holder, previousToken, known := c.options.PreviousHolder(token)
	h, received := c.handovers[holder]
	return h, known && received && h.FencingToken == previousToken && !h.receivedAt.Before(c.termStartedAt)
}

// mayOrderDuringPause reports whether an endpoint may be sent orders during the handover pause of a term. The
// controller's lock is held.
func (c *Controller) mayOrderDuringPause(endpoint string, token int64) bool {
	h, ok := c.previousHandover(token)
	return ok && !slices.Contains(h.Ordered, endpoint)
}

// addPreviousLoads adds the models that an endpoint is loading on orders of the previous holder. The controller's lock
// is held.
func (c *Controller) addPreviousLoads(state *EndpointState, token int64, now time.Time) {
	h, ok := c.previousHandover(token)
	if !ok {
		return
	}
	for _, l := range h.Loading {
		if l.Endpoint != state.ID || !now.Before(l.ReadyAt.Add(completionMargin)) || state.HoldsModel(l.Model) {
			continue
		}
		state.Models = append(slices.Clone(state.Models), fleet.HeldModel{Name: l.Model})
		state.ChangingModels = append(state.ChangingModels, l.Model)
	}
}

// countPreviousStoreLoads counts the previous holder's loads from the weight store within a window. The controller's
// lock is held.
func (c *Controller) countPreviousStoreLoads(token int64, window time.Duration, now time.Time) int {
	h, ok := c.previousHandover(token)
	if !ok {
		return 0
	}
	count := 0
	for _, age := range h.StoreLoadAges {
		if age+now.Sub(h.receivedAt) < window {
			count++
		}
	}
	return count
}
