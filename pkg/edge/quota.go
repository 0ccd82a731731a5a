package edge

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/quota"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// quotaService passes requests, messages, the time, the configuration and the registered instances to the quota logic.
type quotaService struct {
	server  *Server
	metrics quotaMetrics
	// wake makes run poll the account at once.
	wake chan struct{}

	mu      sync.Mutex
	account *quota.Account
	pool    *quota.Pool
	// table is the configuration that account and pool use.
	table *routing.Table
	// members are the registered instances and those that were until recently. The account last got them at membersAt.
	members   map[string]quotaMember
	membersAt time.Duration
	// waiting maps the waiters of the account to the requests.
	waiting     map[int64]chan quota.Decision
	coordinator string
}

// quotaMember is the entry of an instance, and when it was last registered.
type quotaMember struct {
	doc    exchange.InstanceDoc
	seenAt time.Duration
}

// quotaMetrics count requests of workspaces with a quota.
type quotaMetrics struct {
	admitted, rejected, unanswered, renewed, refunded tally.Counter
	messages, bytes                                   tally.Counter
	wait                                              tally.Histogram
	coordinatorChanges                                tally.Counter
	// lentShare is the share of all portions that other instances lend to this one.
	lentShare tally.Gauge
}

func newQuotaMetrics(scope tally.Scope) quotaMetrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	result := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"result": name}).Counter("quota_requests")
	}
	return quotaMetrics{
		admitted:           result("admitted"),
		rejected:           result("rejected"),
		unanswered:         result("unanswered"),
		renewed:            scope.Counter("quota_renewed_charges"),
		refunded:           scope.Counter("quota_refunds"),
		messages:           scope.Counter("quota_messages"),
		bytes:              scope.Counter("quota_message_bytes"),
		wait:               scope.Histogram("quota_wait_seconds", latencyBuckets),
		coordinatorChanges: scope.Counter("quota_coordinator_changes"),
		lentShare:          scope.Gauge("quota_lent_share"),
	}
}

func newQuotaService(s *Server, scope tally.Scope) *quotaService {
	epoch := time.Now().UnixMilli()
	return &quotaService{
		server: s, metrics: newQuotaMetrics(scope), wake: make(chan struct{}, 1),
		account: quota.NewAccount(s.settings().InstanceID, epoch), pool: quota.NewPool(epoch),
		members: make(map[string]quotaMember), membersAt: -membersInterval, waiting: make(map[int64]chan quota.Decision),
	}
}

const (
	// membersInterval is the time between two updates of the registered instances. Registrations last much longer.
	membersInterval = 250 * time.Millisecond
	// memberGrace is how long instances stay members after their registration. Registrations lapse during an outage of
	// the store, and are renewed within 8 s afterwards. Messages to an instance that has ended are only lost.
	memberGrace = 30 * time.Second
)

// run sends this instance's requests until the context ends.
func (q *quotaService) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-q.wake:
		}
		now := timing.SinceBoot()
		timer.Reset(q.poll(now) - now)
	}
}

func (q *quotaService) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// poll sends what is due and returns when to call it again.
func (q *quotaService) poll(now time.Duration) time.Duration {
	q.mu.Lock()
	q.update(now)
	out, next := q.account.Poll(now)
	q.metrics.lentShare.Update(q.pool.Share(now))
	q.recordCoordinator()
	q.mu.Unlock()
	for _, e := range out {
		q.deliver(e)
	}
	return next
}

// update passes the configuration and the registered instances on. The caller holds the lock.
func (q *quotaService) update(now time.Duration) {
	if table := q.server.table.Load(); table != q.table {
		q.table = table
		limits := limitsOf(table.Config)
		q.settle(q.account.Configure(limits))
		q.pool.Configure(limits, now)
	}
	if now-q.membersAt >= membersInterval {
		q.membersAt = now
		q.server.instances.recordMembers(q.members, now)
		members := make([]quota.Member, 0, len(q.members))
		for name, member := range q.members {
			members = append(members, quota.Member{Name: name, MemoryMB: member.doc.MemoryMB})
		}
		q.account.SetMembers(members, now)
	}
}

// addressOf returns the address of a member's exchange socket; empty if it is none.
func (q *quotaService) addressOf(name string) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.members[name].doc.Exchange
}

func limitsOf(config *routing.Config) quota.Limits {
	limits := quota.Limits{Version: config.Version, Of: make(map[quota.Key]quota.Limit)}
	for _, w := range config.Workspaces {
		if w.Quota.Limited() {
			limits.Of[quota.KeyOf(w.Name)] = quota.Limit{Rate: w.Quota.RatePerSecond, Burst: w.Quota.Burst}
		}
	}
	return limits
}

// recordMembers updates members to the registered instances and those that were within memberGrace.
func (r *instanceRegistry) recordMembers(members map[string]quotaMember, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, doc := range r.instances {
		members[name] = quotaMember{doc: doc, seenAt: now}
	}
	for name, member := range members {
		if now-member.seenAt >= memberGrace {
			delete(members, name)
		}
	}
}

// recordCoordinator logs a change of the coordinator. The caller holds the lock.
func (q *quotaService) recordCoordinator() {
	coordinator := q.account.Coordinator()
	if coordinator == q.coordinator {
		return
	}
	q.metrics.coordinatorChanges.Inc(1)
	q.server.log.Info("quota coordinator changed", zap.String("from", q.coordinator), zap.String("to", coordinator),
		zap.Int("instances", q.account.Counted()))
	q.coordinator = coordinator
}

// deliver sends a message, or handles it here if this instance is the recipient.
func (q *quotaService) deliver(e quota.Envelope) {
	own := q.server.settings().InstanceID
	if e.To == own {
		q.handle(own, &e.Message)
		return
	}
	address := q.addressOf(e.To)
	if address == "" {
		return
	}
	data := e.Message.Encode()
	q.metrics.messages.Inc(1)
	q.metrics.bytes.Inc(int64(len(data)))
	settings := q.server.settings()
	peer := exchange.Peer{Instance: e.To, Address: address, SameRegion: q.server.instances.regionOf(e.To, settings.Regions) == settings.Region}
	if err := q.server.exchange.Send(peer, func(m *exchange.Message) { m.Quota = data }); err != nil {
		q.server.log.Debug("quota message not sent", zap.String("peer", e.To), zap.Error(err))
	}
}

// receive handles a message of another instance.
func (q *quotaService) receive(m *exchange.Message) {
	message, err := quota.Decode(m.Quota)
	if err != nil {
		q.server.log.Info("quota message of another instance dropped", zap.String("from", m.Instance), zap.Error(err))
		return
	}
	q.handle(m.Instance, message)
}

func (q *quotaService) handle(from string, m *quota.Message) {
	now := timing.SinceBoot()
	if m.Request != nil {
		q.mu.Lock()
		q.update(now)
		answer := q.pool.Receive(from, m.Request, q.account.Counted(), now)
		q.mu.Unlock()
		if answer != nil {
			q.deliver(quota.Envelope{To: from, Message: quota.Message{Answer: answer}})
		}
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.settle(q.account.Receive(from, m.Answer, now))
	q.recordCoordinator()
	q.wakeUp()
}

// settle ends the wait of requests that are decided. The caller holds the lock.
func (q *quotaService) settle(decisions []quota.Decision) {
	for _, d := range decisions {
		if waiter := q.waiting[d.Waiter]; waiter != nil {
			waiter <- d
			delete(q.waiting, d.Waiter)
		}
	}
}

// confirmRegistration records that the store confirmed the registration by a call sent at a time since boot.
func (q *quotaService) confirmRegistration(sentAt time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account.ConfirmRegistration(sentAt)
}

// previouslyRegistered records that a previous process of this instance was still registered when this one started.
func (q *quotaService) previouslyRegistered() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account.PreviouslyRegistered()
}

// take decides on a request, and waits for the coordinator's answer until it counts as missing, for at most maxWait. Again is
// set if the request had a charge that expired.
func (q *quotaService) take(ctx context.Context, key quota.Key, cost float64, patience, maxWait time.Duration, again bool) quota.Decision {
	now := timing.SinceBoot()
	q.mu.Lock()
	q.update(now)
	decide := q.account.Admit
	if again {
		decide = q.account.Renew
	}
	d := decide(key, cost, patience, now)
	if d.Waiter == 0 {
		q.mu.Unlock()
		return d
	}
	waiter := make(chan quota.Decision, 1)
	q.waiting[d.Waiter] = waiter
	maxWait = min(maxWait, q.account.AnswerTime())
	q.mu.Unlock()
	q.wakeUp()
	started := time.Now()
	defer func() { q.metrics.wait.RecordDuration(time.Since(started)) }()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case decision := <-waiter:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, stillWaits := q.waiting[d.Waiter]; !stillWaits {
		return <-waiter
	}
	delete(q.waiting, d.Waiter)
	q.metrics.unanswered.Inc(1)
	return q.account.Abandon(key, d.Waiter)
}

func (q *quotaService) refund(c quota.Charge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.metrics.refunded.Inc(1)
	q.account.Refund(c)
}
