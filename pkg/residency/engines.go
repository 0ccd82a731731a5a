package residency

import (
	"context"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// Target identifies an endpoint. An endpoint with another id at the same address refuses the order.
type Target struct {
	ID      string
	Address string
}

// OrderCall is one order as sent to an endpoint.
type OrderCall struct {
	Verb    Verb
	Model   string
	Adapter string
	// ExpectedOrdersAccepted is the number of orders that the endpoint must have accepted so far; otherwise it refuses
	// the order. A delayed duplicate therefore has no effect after newer orders.
	ExpectedOrdersAccepted int64
	Holder                 string
	// FencingToken is the fencing token of the holder's lease.
	FencingToken int64
}

// OrderReply is an endpoint's reply to an order.
type OrderReply int

// Replies of an endpoint.
const (
	// Accepted means that the endpoint carries out the order.
	Accepted OrderReply = iota
	// AlreadyHolds means that no work remains in progress: the order was already fulfilled or completed immediately.
	AlreadyHolds
	// Conflicting means that another order is in progress or that the number of accepted orders differs.
	Conflicting
	// StaleToken means that the endpoint has received an order with a newer fencing token.
	StaleToken
	// Misdirected means that another endpoint uses the address now.
	Misdirected
	// Invalid means that the endpoint cannot interpret the order.
	Invalid
)

// Report is an endpoint's report of its own state.
type Report struct {
	Lifetime       int64
	OrdersAccepted int64
	Busy           bool
	Models         []fleet.HeldModel
	// PendingAdapters counts adapters that are being loaded.
	PendingAdapters int
}

// Engines sends orders to endpoints. An error that wraps engine.ErrNotSent means that the order has no effect. After
// any other error the order may still take effect, possibly much later. The statement is that of the response, whatever
// its status; it is empty if there was no response.
type Engines interface {
	Order(ctx context.Context, target Target, call OrderCall) (OrderReply, fleet.Statement, error)
	Report(ctx context.Context, target Target) (Report, fleet.Statement, error)
}
