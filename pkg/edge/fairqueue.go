package edge

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/fairqueue"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
)

// fairQueueMetrics show fair queueing among workspaces. They stay zero in deployments without workspaces.
type fairQueueMetrics struct {
	// waits counts requests that waited in a queue, turns how often one was woken to try.
	waits tally.Counter
	turns tally.Counter
	// held counts choices of an endpoint under the lower limit of a workspace above its share.
	held     tally.Counter
	waitTime tally.Histogram
}

func newFairQueueMetrics(scope tally.Scope) fairQueueMetrics {
	return fairQueueMetrics{
		waits:    scope.Counter("fair_queue_waits"),
		turns:    scope.Counter("fair_queue_turns"),
		held:     scope.Counter("fair_queue_held_choices"),
		waitTime: scope.Histogram("fair_queue_wait_seconds", latencyBuckets),
	}
}

// fairness is the part of a request's state that belongs to fair queueing among workspaces.
type fairness struct {
	// ticket is the request's place among those that wait for a saturated service; nil if it has none.
	ticket   *fairqueue.Ticket
	joinedAt time.Time
	turns    int
	// latencyFactor is that of the last choice; zero or 1 if the workspace was not held back.
	latencyFactor float64
	// charge is what the running call costs the workspace; nil if there is none. cost is its full cost.
	charge *fairshare.Charge
	cost   fairshare.Cost
}

// fairQueue returns the queue of the request's service, or nil if requests are not queued by workspace: without workspaces
// in the configuration, and at plain services, which have no saturation.
func (r *clientRequest) fairQueue() *fairqueue.Queue {
	if r.service.Engine == nil || !r.table.UsesKeys() {
		return nil
	}
	return r.server.fairQueues.Queue(r.service.Name)
}

// reserveWithinLimit chooses an endpoint under the limit of the request's workspace.
func (r *clientRequest) reserveWithinLimit(demand *fleet.Demand, now time.Time) (fleet.Choice, *fleet.Call) {
	queue := r.fairQueue()
	if queue == nil {
		return r.server.deps.Fleet.Reserve(demand, r.server.distance, now)
	}
	decision := queue.Limit(workspaceName(r.workspace), now)
	r.fairness.latencyFactor = decision.LatencyFactor
	limited := *demand
	limited.MaxPrefillShare *= decision.TimeFactor
	limited.TargetLatency = time.Duration(float64(limited.TargetLatency) * decision.LatencyFactor)
	if decision.Held {
		r.server.metrics.fairQueue.held.Inc(1)
	}
	if decision.Log {
		r.server.log.Info("workspace above its share held to a lower limit", zap.String("service", r.service.Name),
			zap.String("workspace", workspaceName(r.workspace)), zap.Float64("relativeService", decision.Standing.Relative),
			zap.Float64("usedBelow", decision.Standing.LowerFraction), zap.Bool("waitingBelow", decision.Standing.LowerWaits),
			zap.Float64("timeFactor", decision.TimeFactor), zap.Float64("latencyFactor", decision.LatencyFactor))
	}
	choice, call := r.server.deps.Fleet.Reserve(&limited, r.server.distance, now)
	if choice.Obstacle == fleet.Saturated {
		queue.NoteSaturated(now)
	}
	if call != nil {
		r.beginCharge(&choice)
	}
	return choice, call
}

// heldLatency returns the time within which the first token must be expected, given the limit of the last choice.
func (r *clientRequest) heldLatency(targetLatency time.Duration) time.Duration {
	if r.fairness.latencyFactor == 0 {
		return targetLatency
	}
	return time.Duration(float64(targetLatency) * r.fairness.latencyFactor)
}

// beginCharge charges the workspace the expected cost of a call.
func (r *clientRequest) beginCharge(choice *fleet.Choice) {
	r.endCharge(false)
	r.fairness.cost = fairshare.Cost{
		InputTokens:  max(r.request.PromptTokens-choice.KeptTokens, 0),
		OutputTokens: r.request.ExpectedOutput,
	}
	if r.request.ExpectedOutput == 0 {
		r.fairness.cost.OutputTokens = r.request.OutputTokens
	}
	r.fairness.charge = r.server.fairQueues.Start(workspaceName(r.workspace), r.request.Model, r.fairness.cost)
}

// recordPromptRead publishes the cost of the prompt once the engine has read it.
func (r *clientRequest) recordPromptRead() {
	if r.fairness.charge != nil {
		r.fairness.charge.Progress(0)
	}
}

// endCharge ends the charge of a call. A call that did not run costs nothing.
func (r *clientRequest) endCharge(ran bool) {
	if r.fairness.charge == nil {
		return
	}
	cost := fairshare.Cost{}
	if ran {
		cost = r.fairness.cost
	}
	r.fairness.charge.Finish(cost)
	r.fairness.charge = nil
}

// queueBehindWaiting lets the waiting requests that precede a new one choose first.
func (r *clientRequest) queueBehindWaiting() {
	queue := r.fairQueue()
	if queue == nil || !queue.Waiting() {
		return
	}
	changed, configChanged := r.server.deps.Fleet.Changed(), r.server.configChanged.next()
	r.joinQueue(queue, false, changed, configChanged)
	// Turns are ended without blocking, so that this takes no time that counts.
	select {
	case <-r.fairness.ticket.Turn():
		r.recordTurn()
	case <-r.ctx.Done():
	case <-r.server.refusing:
	}
}

func (r *clientRequest) joinQueue(queue *fairqueue.Queue, tried bool, changed, configChanged <-chan struct{}) {
	now := time.Now()
	target := now.Add(r.timeToTarget(now))
	speed := r.server.deps.Fleet.ServiceSpeed(r.service.Name, now)
	least := fleet.ExpectedFirstToken(fleet.Work{}, &fleet.Demand{Model: r.request.Model, PromptTokens: r.request.PromptTokens}, 0, 1, speed)
	ticket, watchUntil := queue.Join(fairqueue.Waiter{
		Workspace: workspaceName(r.workspace), Model: r.request.Model, Rank: r.priority(),
		InTimeUntil: target.Add(-least), Deadline: r.deadline,
	}, tried, now)
	r.fairness.ticket, r.fairness.joinedAt, r.fairness.turns = ticket, now, 0
	r.server.metrics.fairQueue.waits.Inc(1)
	if watchUntil != nil {
		r.server.queueWatchers.Go(func() { r.server.wakeQueue(queue, watchUntil, changed, configChanged) })
	}
}

// wakeQueue wakes the requests of a queue at each change until the last one has left. The channels are from before the first
// request tried to choose, so that no change is missed.
func (s *Server) wakeQueue(queue *fairqueue.Queue, until, changed, configChanged <-chan struct{}) {
	for {
		select {
		case <-until:
			return
		case <-changed:
		case <-configChanged:
		}
		changed, configChanged = s.deps.Fleet.Changed(), s.configChanged.next()
		queue.Wake(time.Now())
	}
}

func (r *clientRequest) recordTurn() {
	r.fairness.turns++
	r.server.metrics.fairQueue.turns.Inc(1)
}

// waitForTurn is waitForChange for a request that waits for a saturated service. Instead of at each change, the request is
// woken when it is its turn.
func (r *clientRequest) waitForTurn(queue *fairqueue.Queue, changed, configChanged <-chan struct{}, maxWait time.Duration) bool {
	if r.fairness.ticket == nil {
		r.joinQueue(queue, true, changed, configChanged)
	} else {
		r.fairness.ticket.Yield(time.Now())
	}
	select {
	case <-changed:
		// The change came after this request began to choose, and perhaps before it joined the queue.
		queue.Wake(time.Now())
	case <-configChanged:
		queue.Wake(time.Now())
	default:
	}
	if !r.await(r.fairness.ticket.Turn(), nil, maxWait) {
		return false
	}
	r.recordTurn()
	return true
}

// leaveQueue gives up the request's place among those that wait, if it has one.
func (r *clientRequest) leaveQueue() {
	if r.fairness.ticket == nil {
		return
	}
	now := time.Now()
	r.fairness.ticket.Leave(now)
	r.fairness.ticket = nil
	waited := now.Sub(r.fairness.joinedAt)
	r.server.metrics.fairQueue.waitTime.RecordDuration(waited)
	r.log.Info("left the fair queue", zap.Duration("waited", waited), zap.Int("turns", r.fairness.turns),
		zap.Int("rank", r.priority()), zap.Stringer("obstacle", r.obstacle))
}
