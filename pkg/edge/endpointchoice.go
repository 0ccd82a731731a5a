package edge

import (
	"time"

	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// chooseEndpoint chooses an endpoint and reserves its capacity for the request. While no endpoint can accept the
// request, it waits as long as waiting may help. If it returns nil, retryAfter is the time until an endpoint may be
// available.
func (r *clientRequest) chooseEndpoint() (a *attempt, retryAfter time.Duration) {
	r.queueBehindWaiting()
	defer r.leaveQueue()
	for {
		changed, configChanged := r.server.deps.Fleet.Changed(), r.server.configChanged.next()
		now := time.Now()
		if !r.recheckKey() {
			return nil, 0
		}
		if !r.server.mayFinish(r.deadline) {
			r.outlastsInstance = true
			return nil, 0
		}
		if remaining, found := r.inQuarantine(now); found {
			return nil, remaining
		}
		demand := r.fleetDemand(now)
		choice, call := r.reserve(demand, now)
		if call != nil {
			if retryAfter, ok := r.renewQuota(); !ok {
				call.End(fleet.Neutral, time.Now())
				return nil, retryAfter
			}
			r.logChoice(&choice)
			return &attempt{choice: choice, call: call, late: demand.Late}, 0
		}
		r.obstacle = choice.Obstacle
		expected, maxWait := r.obstacleTimes(&choice, demand, now)
		if expected <= 0 || expected > maxWait {
			return nil, max(expected, minRetryAfter)
		}
		r.logWait(expected, maxWait)
		if !r.waitForChange(changed, configChanged, maxWait) {
			return nil, max(expected, minRetryAfter)
		}
	}
}

// logWait logs that the request waits, unless the last logged wait was for the same obstacle.
func (r *clientRequest) logWait(expected, maxWait time.Duration) {
	if r.loggedObstacle == r.obstacle {
		return
	}
	r.loggedObstacle = r.obstacle
	r.log.Info("waits for an endpoint", zap.Stringer("obstacle", r.obstacle), zap.String("model", r.request.Model),
		zap.String("adapter", r.request.Adapter), zap.Duration("expected", expected), zap.Duration("patience", maxWait))
}

// reserve chooses an endpoint for a response in time, or else for a late one. A late response is worth more to the
// client than a refusal and another attempt, and it only takes engine time that requests in time leave.
func (r *clientRequest) reserve(demand *fleet.Demand, now time.Time) (fleet.Choice, *fleet.Call) {
	choice, call := r.reserveWithinLimit(demand, now)
	if choice.Obstacle != fleet.Saturated || demand.Late || r.continuesStream() {
		return choice, call
	}
	targetLatency := demand.TargetLatency
	r.markLate(demand, now)
	choice, call = r.reserveWithinLimit(demand, now)
	if call == nil {
		demand.Late, demand.TargetLatency, demand.MaxPrefillShare = false, targetLatency, prefillShare
	}
	return choice, call
}

// obstacleTimes returns the expected time until the obstacle is removed, and the maximum time that the request may wait
// for that.
func (r *clientRequest) obstacleTimes(choice *fleet.Choice, demand *fleet.Demand, now time.Time) (expected, maxWait time.Duration) {
	switch choice.Obstacle {
	case fleet.Saturated:
	case fleet.NotHeld:
		if r.boundToSoftware() {
			// The model may be loaded at endpoints of other versions only.
			return 0, 0
		}
		return r.server.expectedWait(r.service, demand, choice.Obstacle), r.deadline.Sub(now)
	case fleet.Busy:
		if choice.AwaitsProbe {
			return choice.CallsAllowedIn, r.deadline.Sub(now)
		}
		// The endpoints have said that they take no calls, so that waiting here is of no use.
		return choice.CallsAllowedIn, 0
	default:
		return r.server.expectedWait(r.service, demand, choice.Obstacle), r.deadline.Sub(now)
	}
	if ready, loading := r.server.deps.Fleet.ReadyIn(r.request.Model, now); loading {
		// Another copy will take a share of the load soon; until then, a late response is better than none.
		limit := time.Duration(float64(r.deadline.Sub(now)) * copyWaitingShare)
		if ready+copySettleTime < limit {
			return ready, limit
		}
	}
	lateBy := choice.SoonestFirstToken - r.heldLatency(demand.TargetLatency)
	share := waitingShare
	if demand.Late {
		share = lateWaitingShare
	}
	return max(lateBy, minSaturatedWait), time.Duration(float64(demand.TargetLatency)*share) - now.Sub(r.arrivedAt)
}

const (
	// minRetryAfter is the minimum Retry-After time. It spaces the attempts of clients while a service has no endpoint.
	minRetryAfter = 200 * time.Millisecond
	// minSaturatedWait is the minimum expected time until a saturated engine has free capacity.
	minSaturatedWait = 50 * time.Millisecond
	// waitingShare is the fraction of the time to the target that a request may wait for a saturated engine before it
	// is refused.
	waitingShare = 0.4
	// copyWaitingShare is the fraction of the time left until the deadline that a request may wait for a copy being
	// loaded.
	copyWaitingShare = 0.5
	// copySettleTime is the time until a new copy has taken over its share of the load.
	copySettleTime = 500 * time.Millisecond
	// lateWaitingShare replaces waitingShare for requests that are late anyway. Their clients have been refused once
	// and do not try again.
	lateWaitingShare = 0.8
)

// waitForChange waits until the fleet or the configuration changes or the instance begins to drain. It returns false if
// maxWait has passed, the request has ended or the instance refuses requests.
func (r *clientRequest) waitForChange(changed, configChanged <-chan struct{}, maxWait time.Duration) bool {
	if queue := r.fairQueue(); queue != nil && r.obstacle == fleet.Saturated {
		return r.waitForTurn(queue, changed, configChanged, maxWait)
	}
	r.leaveQueue()
	if r.obstacle == fleet.NotHeld || r.obstacle == fleet.AdapterNotHeld {
		endWait := r.server.demand.beginWait(r.service.Name, &r.request, r.obstacle == fleet.AdapterNotHeld)
		defer endWait()
		if !r.holderNotified {
			r.holderNotified = true
			r.server.exchange.ReportWaitingDemand()
		}
	}
	return r.await(changed, configChanged, maxWait)
}

// await waits for one of two events as waitForChange does.
func (r *clientRequest) await(changed, configChanged <-chan struct{}, maxWait time.Duration) bool {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	drainStarted := r.server.drainStarted
	if r.server.draining.Load() {
		drainStarted = nil
	}
	select {
	case <-changed:
		return true
	case <-configChanged:
		return true
	case <-drainStarted:
		return true
	case <-timer.C:
		return false
	case <-r.ctx.Done():
		return false
	case <-r.server.refusing:
		return false
	}
}
