// Package fairshare keeps weighted virtual counters of service per member and, within a member, per model. The next
// call to start belongs to the waiting member with the lowest counter.
//
// A counter is the service that the member received over all instances, divided by its share, plus a lift. When a
// member begins to wait, its counter is lifted to the minimum of the waiting members. Idle time therefore earns no
// credit, and a member that used idle capacity owes nothing to members that were idle at the time.
//
// Service through other instances is known from the last exchange. A member's service as known by one instance differs
// from the true value by at most what the other instances delivered to the member since their last exchange, which is
// one exchange interval of consumption.
// Each instance publishes service with every output token, so that the bound also holds for long responses. The
// expected remaining cost of a running call is charged only at its own instance.
package fairshare

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Weights convert usage into service.
type Weights struct {
	// InputToken and OutputToken are service per token.
	InputToken  float64
	OutputToken float64
	// AcceleratorSecond is service per second of one accelerator.
	AcceleratorSecond float64
}

// DefaultWeights counts an output token twice, because it takes its own decode step while input tokens are processed
// together. A second of one accelerator counts as 100 input tokens, so that calls of plain services and of large models
// are not free.
func DefaultWeights() Weights {
	return Weights{InputToken: 1, OutputToken: 2, AcceleratorSecond: 100}
}

// Cost is the usage of one call.
type Cost struct {
	InputTokens  int
	OutputTokens int
	// AcceleratorTime is the call's fraction of the time of the accelerators that it ran on.
	AcceleratorTime time.Duration
}

func (w Weights) service(cost Cost) float64 {
	return w.InputToken*float64(max(0, cost.InputTokens)) +
		w.OutputToken*float64(max(0, cost.OutputTokens)) +
		w.AcceleratorSecond*max(0, cost.AcceleratorTime.Seconds())
}

// Usage is what one instance reports about a member.
type Usage struct {
	Member string
	// Service is cumulative since the start of the incarnation and never decreases.
	Service float64
	// Waiting counts calls that can start when an endpoint has capacity.
	Waiting int
}

// Accountant keeps the counters. It is safe for concurrent use.
type Accountant struct {
	weights Weights

	mu           sync.Mutex
	shares       map[string]float64
	members      *accountSet
	peers        map[string]*peer
	removedPeers []string // oldest first
}

type peer struct {
	usages  map[string]Usage
	removed bool
}

// maxRemovedPeers is the number of removed peers whose usage is kept. A peer that was removed during a partition and
// returns is then not counted twice.
const maxRemovedPeers = 32

// NewAccountant returns an accountant in which every member has share 1 until SetShares.
func NewAccountant(weights Weights) *Accountant {
	return &Accountant{
		weights: weights,
		shares:  make(map[string]float64),
		members: newAccountSet(),
		peers:   make(map[string]*peer),
	}
}

// SetShares replaces the shares. Counters keep their values, so that a new share affects only later service. Members
// that are missing from shares keep their accounts, because a member that is declared again must not publish less
// service than before.
func (a *Accountant) SetShares(shares map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares = shares
	for name, account := range a.members.accounts {
		account.setShare(a.share(name))
	}
}

func (a *Accountant) share(member string) float64 {
	if share := a.shares[member]; share > 0 {
		return share
	}
	return 1
}

func (a *Accountant) member(name string) *account {
	account := a.members.account(name, a.share(name))
	if account.models == nil {
		account.models = newAccountSet()
	}
	return account
}

// AddWaiting adds delta to the number of a member's waiting calls for a model. Calls that wait for a model to be loaded
// must not be counted: they do not compete for capacity and would earn credit.
func (a *Accountant) AddWaiting(member, model string, delta int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.member(member)
	account.models.addWaiting(account.models.account(model, 1), delta)
	a.members.addWaiting(account, delta)
}

// Counter returns a member's virtual counter.
func (a *Accountant) Counter(member string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member(member).counter()
}

// ReceivedService returns the known service of a member over all instances, without the expected remaining cost of
// running calls.
func (a *Accountant) ReceivedService(member string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.member(member)
	return account.localService + account.remoteService
}

// SortMembers sorts members by counter, lowest first. At equal counters the member with less expected service in flight
// relative to its share comes first: a member that was just lifted to another's counter has not received that service
// yet.
func (a *Accountant) SortMembers(names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(names, func(x, y string) int { return compareAccounts(x, y, a.member(x), a.member(y)) })
}

// SortModels sorts models of a member by their counters within the member, lowest first.
func (a *Accountant) SortModels(member string, models []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	accounts := a.member(member).models
	slices.SortFunc(models, func(x, y string) int { return compareAccounts(x, y, accounts.account(x, 1), accounts.account(y, 1)) })
}

func compareAccounts(x, y string, a, b *account) int {
	return cmp.Or(
		cmp.Compare(a.counter(), b.counter()),
		cmp.Compare(a.expectedService/a.share, b.expectedService/b.share),
		cmp.Compare(x, y))
}

// recentDecayTime is the time constant of the decay of recent service. It spans a few exchange intervals, so that one
// lost exchange does not make a member look idle.
const recentDecayTime = 2 * time.Second

// LocalFraction returns the fraction of an endpoint that this instance may use even if calls of other instances occupy
// the whole endpoint. The share of each active member is split among the instances by the member's recent service or
// waiting calls. The result is what this instance gets, relative to the shares of all active members. Without it, an
// instance that refills every slot that it frees would block the members of all other instances. The fractions of all
// instances add up to about one.
func (a *Accountant) LocalFraction() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var localShares, total float64
	for _, account := range a.members.accounts {
		if !account.isActive(now) {
			continue
		}
		total += account.share
		localShares += account.share * account.localActivityFraction(now)
	}
	if total == 0 {
		return 0
	}
	return localShares / total
}

// WithinShare reports whether the member's recent service over all instances is at most its share of the recent service
// of all active members.
func (a *Accountant) WithinShare(member string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	totalShare, totalService := a.activeTotals(now)
	return a.member(member).isWithinShare(totalShare, totalService, now)
}

const (
	// minHeadroom and maxHeadroom bound the fraction of an endpoint that a member above its share leaves free. The
	// minimum is for the first call of a member that was idle. The maximum limits the capacity that is lost when no
	// such call arrives.
	minHeadroom = 0.1
	maxHeadroom = 0.5
)

// Headroom returns the fraction of each endpoint, 0 to 1, that the member's calls must leave free. It is zero for a
// member within its share. A member at twice its share or more leaves free the fraction that members within their share
// recently used, because the calls of those members would miss their targets if they waited for running calls of this
// member to end. Between one and two times the share the headroom grows in proportion: if all members demand more than
// the capacity, each one is by chance sometimes above and sometimes below its share.
func (a *Accountant) Headroom(member string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	totalShare, totalService := a.activeTotals(now)
	own := a.member(member)
	if own.isWithinShare(totalShare, totalService, now) {
		return 0
	}
	excess := own.recentService(now)*totalShare/(totalService*own.share) - 1
	var usedWithinShare float64
	for _, account := range a.members.accounts {
		if account.isActive(now) && account.isWithinShare(totalShare, totalService, now) {
			usedWithinShare += account.recentService(now)
		}
	}
	return min(1, excess) * min(maxHeadroom, max(minHeadroom, usedWithinShare/totalService))
}

// Standing compares a member's recent service over all instances with that of the other active members.
type Standing struct {
	// Relative is the member's fraction of the recent service divided by its fraction of the shares. It is above 1 for a
	// member above its share.
	Relative float64
	// LowerFraction is the fraction of the recent service that members with a lower Relative received.
	LowerFraction float64
	// LowerWaits is set if calls of a member with a lower Relative wait, here or at another instance.
	LowerWaits bool
}

// Standing returns the member's standing.
func (a *Accountant) Standing(member string) Standing {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	totalShare, totalService := a.activeTotals(now)
	own := a.member(member)
	if totalService <= 0 || !own.isActive(now) {
		return Standing{}
	}
	ownRatio := own.recentService(now) / own.share
	standing := Standing{Relative: ownRatio * totalShare / totalService}
	for _, account := range a.members.accounts {
		if account == own || !account.isActive(now) || account.recentService(now)/account.share >= ownRatio {
			continue
		}
		standing.LowerFraction += account.recentService(now) / totalService
		standing.LowerWaits = standing.LowerWaits || account.waiting+account.remoteWaiting > 0
	}
	return standing
}

// activeTotals returns the sums of the shares and of the recent service of the active members. The caller holds the
// lock.
func (a *Accountant) activeTotals(now time.Time) (totalShare, totalService float64) {
	for _, account := range a.members.accounts {
		if account.isActive(now) {
			totalShare += account.share
			totalService += account.recentService(now)
		}
	}
	return totalShare, totalService
}

// isWithinShare reports whether the account's fraction of the recent service is at most its fraction of the shares.
func (a *account) isWithinShare(totalShare, totalService float64, now time.Time) bool {
	return a.recentService(now)*totalShare <= totalService*a.share
}

// LocalUsages returns this instance's usage, sorted by member.
func (a *Accountant) LocalUsages() []Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	usages := make([]Usage, 0, len(a.members.accounts))
	for name, account := range a.members.accounts {
		usages = append(usages, Usage{Member: name, Service: account.localService, Waiting: account.waiting})
	}
	slices.SortFunc(usages, func(x, y Usage) int { return cmp.Compare(x.Member, y.Member) })
	return usages
}

// MergePeerUsages merges a peer's usage. Service only grows, so a usage with less service than before comes from an
// exchange that arrived out of order, and is ignored. Members that are missing from usages keep their last usage. A
// restarted peer must use a new id.
func (a *Accountant) MergePeerUsages(peerID string, usages []Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[peerID]
	if p == nil {
		p = &peer{usages: make(map[string]Usage)}
		a.peers[peerID] = p
	}
	if p.removed {
		p.removed = false
		a.removedPeers = slices.DeleteFunc(a.removedPeers, func(id string) bool { return id == peerID })
	}
	for _, usage := range usages {
		a.merge(p, usage)
	}
}

func (a *Accountant) merge(p *peer, usage Usage) {
	previous := p.usages[usage.Member]
	if usage.Service < previous.Service {
		return
	}
	account := a.member(usage.Member)
	account.remoteService += usage.Service - previous.Service
	account.remoteRecentService.add(usage.Service-previous.Service, time.Now())
	a.members.addRemoteWaiting(account, usage.Waiting-previous.Waiting)
	p.usages[usage.Member] = usage
}

// RemovePeer removes a peer's waiting calls. The service that the peer delivered stays counted.
func (a *Accountant) RemovePeer(peerID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[peerID]
	if p == nil || p.removed {
		return
	}
	for member, usage := range p.usages {
		a.members.addRemoteWaiting(a.member(member), -usage.Waiting)
		usage.Waiting = 0
		p.usages[member] = usage
	}
	p.removed = true
	a.removedPeers = append(a.removedPeers, peerID)
	if len(a.removedPeers) > maxRemovedPeers {
		delete(a.peers, a.removedPeers[0])
		a.removedPeers = a.removedPeers[1:]
	}
}

// Charge tracks what one running call is charged. It is safe for concurrent use.
type Charge struct {
	accountant *Accountant
	member     *account
	model      *account
	// deliveredService is the published service, expectedService the service charged in advance. undeliveredInput is
	// the service of the input until it is published.
	deliveredService float64
	expectedService  float64
	undeliveredInput float64
	finished         bool
}

// Start charges the expected cost of a call that starts.
func (a *Accountant) Start(member, model string, expected Cost) *Charge {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.member(member)
	c := &Charge{accountant: a, member: account, model: account.models.account(model, 1)}
	c.undeliveredInput = a.weights.service(Cost{InputTokens: expected.InputTokens})
	c.setExpected(a.weights.service(expected))
	return c
}

// Progress publishes output tokens as they are delivered. The first call also publishes the input. Tokens beyond the
// expected number are charged at once, so that a long response is not undercharged until its end.
func (c *Charge) Progress(outputTokens int) {
	a := c.accountant
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.finished {
		return
	}
	service := a.weights.service(Cost{OutputTokens: outputTokens}) + c.undeliveredInput
	c.undeliveredInput = 0
	c.addDelivered(service)
	c.setExpected(max(0, c.expectedService-service))
}

// Finish replaces the rest of the expected cost by the actual cost of the whole call, and returns the service of the
// call. Delivered service is not reduced when the actual cost is lower.
func (c *Charge) Finish(actual Cost) float64 {
	a := c.accountant
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.finished {
		return c.deliveredService
	}
	c.finished = true
	c.setExpected(0)
	c.addDelivered(max(0, a.weights.service(actual)-c.deliveredService))
	return c.deliveredService
}

func (c *Charge) setExpected(service float64) {
	c.member.expectedService += service - c.expectedService
	c.model.expectedService += service - c.expectedService
	c.expectedService = service
}

func (c *Charge) addDelivered(service float64) {
	c.member.localService += service
	c.member.localRecentService.add(service, time.Now())
	c.model.localService += service
	c.deliveredService += service
}
