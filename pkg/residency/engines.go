package residency

import (
	"context"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Target names an endpoint; one with another id at the same address carries out nothing.
type Target struct {
	ID      string
	Address string
}

// OrderCall is one order as it is sent.
type OrderCall struct {
	Verb    Verb
	Model   string
	Adapter string
	// AfterOrders is the number of orders that the endpoint must have accepted so far; otherwise it refuses. A late copy
	// of an order therefore takes no effect after newer ones.
	AfterOrders int64
	Holder      string
	// Fence is the fencing token of the holder's lease.
	Fence int64
}

// OrderReply is an endpoint's reply to an order.
type OrderReply int

// The replies.
const (
	// Accepted means that the order is being carried out.
	Accepted OrderReply = iota
	// AlreadyHolds means that nothing had to be done.
	AlreadyHolds
	// Conflicting means that another order is under way or that the number of accepted orders differs.
	Conflicting
	// FencedOff means that the endpoint has seen a newer fencing token.
	FencedOff
	// Misdirected means that another endpoint has the address now.
	Misdirected
	// Invalid means that the endpoint does not understand the order.
	Invalid
)

// Report is an endpoint's own state.
type Report struct {
	Lifetime       int64
	OrdersAccepted int64
	Busy           bool
	Models         []fleet.HeldModel
	// PendingAdapters counts adapters in transit.
	PendingAdapters int
}

// Engines sends orders to endpoints. An error that wraps engine.ErrNotSent means that the order has no effect; after any
// other error it may take effect, also much later.
type Engines interface {
	Order(ctx context.Context, target Target, call OrderCall) (OrderReply, error)
	Report(ctx context.Context, target Target) (Report, error)
}
