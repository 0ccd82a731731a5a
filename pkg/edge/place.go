package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// place chooses an endpoint and counts the request there. While none can take it, it waits as long as that can be of use.
// Without an endpoint, retryAfter says when there may be one.
func (x *clientRequest) place() (a *attempt, retryAfter time.Duration) {
	for {
		changed := x.server.parts.Fleet.Changed()
		now := time.Now()
		demand := x.fleetDemand(now)
		choice, call := x.reserve(demand, now)
		if call != nil {
			x.logChoice(&choice)
			return &attempt{choice: choice, call: call, late: demand.Late}, 0
		}
		x.obstacle = choice.Obstacle
		expected, patience := x.obstacleTimes(&choice, demand, now)
		if expected <= 0 || expected > patience {
			return nil, max(expected, minimumRetryAfter)
		}
		x.logWait(expected, patience)
		if !x.waitForChange(changed, patience) {
			return nil, max(expected, minimumRetryAfter)
		}
	}
}

// logWait logs that the request begins to wait, once for each obstacle.
func (x *clientRequest) logWait(expected, patience time.Duration) {
	if x.waitsFor == x.obstacle {
		return
	}
	x.waitsFor = x.obstacle
	x.log.Info("waits for an endpoint", zap.Stringer("obstacle", x.obstacle), zap.String("model", x.request.Model),
		zap.String("adapter", x.request.Adapter), zap.Duration("expected", expected), zap.Duration("patience", patience))
}

// reserve chooses an endpoint for an answer in time, or else for a late one: that is worth more to the client than to be
// refused and come back, and it takes only time that requests in time leave.
func (x *clientRequest) reserve(demand *fleet.Demand, now time.Time) (fleet.Choice, *fleet.Call) {
	pace := x.server.paces.of(x.service.Name)
	choice, call := x.server.parts.Fleet.Reserve(demand, pace, x.server.distance, now)
	if choice.Obstacle != fleet.Saturated || demand.Late {
		return choice, call
	}
	within := demand.Within
	x.makeLate(demand, now)
	choice, call = x.server.parts.Fleet.Reserve(demand, pace, x.server.distance, now)
	if call == nil {
		demand.Late, demand.Within, demand.MaxPrefillShare = false, within, prefillShare
	}
	return choice, call
}

// obstacleTimes returns the time until an obstacle is likely gone, and how long the request may wait for that.
func (x *clientRequest) obstacleTimes(choice *fleet.Choice, demand *fleet.Demand, now time.Time) (expected, patience time.Duration) {
	if choice.Obstacle != fleet.Saturated {
		return x.server.await(x.service, demand, choice.Obstacle), x.deadline.Sub(now)
	}
	if ready, loading := x.server.parts.Fleet.ReadyIn(x.request.Model, now); loading {
		// A further copy takes part of the load soon; until then a late answer is better than none.
		limit := time.Duration(float64(x.deadline.Sub(now)) * copyWaitingShare)
		if ready+copySettleTime < limit {
			return ready, limit
		}
	}
	late := choice.SoonestFirstToken - demand.Within
	share := waitingShare
	if demand.Late {
		share = lateWaitingShare
	}
	return max(late, saturatedStep), time.Duration(float64(demand.Within)*share) - now.Sub(x.arrived)
}

const (
	// minimumRetryAfter spaces the returns of clients whose service has no endpoint at the moment.
	minimumRetryAfter = 200 * time.Millisecond
	// saturatedStep is the least time in which a saturated engine frees some of its time.
	saturatedStep = 50 * time.Millisecond
	// waitingShare is the part of the useful time that a request may wait for a saturated engine before it is refused.
	waitingShare = 0.4
	// copyWaitingShare is the part of the time left until the deadline that a request may wait for a copy being loaded.
	copyWaitingShare = 0.5
	// copySettleTime is the time in which a new copy takes over its part of the load.
	copySettleTime = 500 * time.Millisecond
	// lateWaitingShare is the same for requests that are late anyway: their clients have been refused once and do not come
	// back again.
	lateWaitingShare = 0.8
)

// waitForChange waits until the fleet changes. It returns false when the request has no time left.
func (x *clientRequest) waitForChange(changed <-chan struct{}, patience time.Duration) bool {
	if x.obstacle == fleet.NotHeld || x.obstacle == fleet.AdapterNotHeld {
		waited := x.server.demand.wait(x.service.Name, &x.request, x.obstacle == fleet.AdapterNotHeld)
		defer waited()
		if !x.urged {
			x.urged = true
			x.server.exchange.ReportWaitingDemand()
		}
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-x.ctx.Done():
		return false
	case <-x.server.refusing:
		return false
	}
}
