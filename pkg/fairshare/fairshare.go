// Package fairshare keeps weighted virtual token counters per member and, within a member, per model. The call to start
// next is one of the waiting member with the lowest counter.
//
// A counter is the service that the member received over all instances, divided by its share, plus a lift. A member that
// begins to wait is lifted to the minimum of the members that wait, so that time without demand earns no credit, and a
// member that used idle capacity owes nothing for it to members that were idle at the time.
//
// Service through other instances is known from the last exchange. The service of a member as one instance knows it
// differs from the true one by at most what the other instances delivered to the member since their last exchange, that is
// by one exchange interval of consumption. Service is published as it is delivered, output token by output token, so a
// long response does not hide from the bound; the expected rest of a running call is charged only at its own instance.
package fairshare

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Weights convert usage to service.
type Weights struct {
	// InputToken and OutputToken are service per token.
	InputToken  float64
	OutputToken float64
	// AcceleratorSecond is service per second of one accelerator.
	AcceleratorSecond float64
}

// DefaultWeights count an output token twice, because it takes a decode step of its own while input tokens are processed
// together, and a second of one accelerator as 100 input tokens, so that calls of plain services and of large models are
// not free.
func DefaultWeights() Weights {
	return Weights{InputToken: 1, OutputToken: 2, AcceleratorSecond: 100}
}

// Cost is the usage of one call.
type Cost struct {
	InputTokens  int
	OutputTokens int
	// AcceleratorTime is the call's part of the time of the accelerators that it ran on.
	AcceleratorTime time.Duration
}

func (w Weights) service(cost Cost) float64 {
	return w.InputToken*float64(max(0, cost.InputTokens)) +
		w.OutputToken*float64(max(0, cost.OutputTokens)) +
		w.AcceleratorSecond*max(0, cost.AcceleratorTime.Seconds())
}

// Usage is what one instance tells of a member.
type Usage struct {
	Member string
	// Service is cumulative over the incarnation and never decreases.
	Service float64
	// Waiting counts calls that could run if an endpoint had capacity.
	Waiting int
}

// Accountant keeps the counters. It is safe for concurrent use.
type Accountant struct {
	weights Weights

	mu      sync.Mutex
	shares  map[string]float64
	members *level
	peers   map[string]*peer
	removed []string // oldest first
}

type peer struct {
	usages  map[string]Usage
	removed bool
}

// rememberedPeers is the number of removed peers whose usage is kept apart, so that a peer that was removed during a
// partition and returns is not counted twice.
const rememberedPeers = 32

// NewAccountant returns an accountant in which every member has share 1 until SetShares.
func NewAccountant(weights Weights) *Accountant {
	return &Accountant{
		weights: weights,
		shares:  make(map[string]float64),
		members: newLevel(),
		peers:   make(map[string]*peer),
	}
}

// SetShares replaces the shares. A counter keeps its value, so that a new share affects later service only. Members that
// are not named keep their accounts, because a member that is declared again must not publish less service than before.
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
		account.models = newLevel()
	}
	return account
}

// Wait adds delta to the number of a member's waiting calls for a model. Calls that wait for a model to be loaded must
// not be counted: they do not compete for capacity and would earn credit.
func (a *Accountant) Wait(member, model string, delta int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.member(member)
	account.models.wait(account.models.account(model, 1), delta)
	a.members.wait(account, delta)
}

// Counter returns a member's virtual counter.
func (a *Accountant) Counter(member string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.member(member).counter()
}

// Service returns the service that a member received over all instances, as far as it is known, without the expected rest
// of running calls.
func (a *Accountant) Service(member string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.member(member)
	return account.delivered + account.remote
}

// SortMembers orders members by counter, lowest first. With equal counters the member with less service in flight
// relative to its share comes first: a member that was just lifted to another's counter has not used it yet.
func (a *Accountant) SortMembers(names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	slices.SortFunc(names, func(x, y string) int { return compare(x, y, a.member(x), a.member(y)) })
}

// SortModels orders models of a member by their counters within the member, lowest first.
func (a *Accountant) SortModels(member string, models []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	inner := a.member(member).models
	slices.SortFunc(models, func(x, y string) int { return compare(x, y, inner.account(x, 1), inner.account(y, 1)) })
}

func compare(x, y string, a, b *account) int {
	return cmp.Or(
		cmp.Compare(a.counter(), b.counter()),
		cmp.Compare(a.expected/a.share, b.expected/b.share),
		cmp.Compare(x, y))
}

// recentTime is the time constant with which recent service is forgotten: a few exchange intervals, so that one lost
// exchange does not make a member look idle.
const recentTime = 2 * time.Second

// LocalPart returns the part of an endpoint that this instance may fill although the endpoint is full of other instances'
// calls: the shares of the members that are active here, each divided among the instances by the member's recent service,
// relative to the shares of all active members. Without it an instance that refills every slot it frees would keep the
// members of all others out. The parts of all instances add up to about one.
func (a *Accountant) LocalPart() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var local, all float64
	for _, account := range a.members.accounts {
		if !account.active(now) {
			continue
		}
		all += account.share
		local += account.share * account.localFraction(now)
	}
	if all == 0 {
		return 0
	}
	return local / all
}

// WithinShare tells whether the member's recent service, here and at other instances, is at most its share of that of all
// active members.
func (a *Accountant) WithinShare(member string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	shares, service := a.activity(now)
	return a.member(member).within(shares, service, now)
}

const (
	// leastHeadroom and mostHeadroom bound the part of an endpoint that a member above its share leaves free. The least is
	// for a first call of a member that was idle; the most limits the capacity that is lost when that call does not come.
	leastHeadroom = 0.1
	mostHeadroom  = 0.5
)

// Headroom returns the part of each endpoint that the member's calls must leave free, 0 to 1. It is zero for a member within
// its share. A member at twice its share or more leaves as much as those within their share used lately: their calls cannot
// wait for its running calls to end without missing their targets. Between one and two times the share the room grows in
// proportion, since members that all want more than there is are above and below their shares by chance.
func (a *Accountant) Headroom(member string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	shares, service := a.activity(now)
	own := a.member(member)
	if own.within(shares, service, now) {
		return 0
	}
	excess := own.recent(now)*shares/(service*own.share) - 1
	var used float64
	for _, account := range a.members.accounts {
		if account.active(now) && account.within(shares, service, now) {
			used += account.recent(now)
		}
	}
	return min(1, excess) * min(mostHeadroom, max(leastHeadroom, used/service))
}

// activity sums the shares and the recent service of the active members. The caller holds the lock.
func (a *Accountant) activity(now time.Time) (shares, service float64) {
	for _, account := range a.members.accounts {
		if account.active(now) {
			shares += account.share
			service += account.recent(now)
		}
	}
	return shares, service
}

// within tells whether the account's part of the recent service is at most its part of the shares.
func (a *account) within(shares, service float64, now time.Time) bool {
	return a.recent(now)*shares <= service*a.share
}

// Local returns this instance's usage, ordered by member.
func (a *Accountant) Local() []Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	usages := make([]Usage, 0, len(a.members.accounts))
	for name, account := range a.members.accounts {
		usages = append(usages, Usage{Member: name, Service: account.delivered, Waiting: account.waiting})
	}
	slices.SortFunc(usages, func(x, y Usage) int { return cmp.Compare(x.Member, y.Member) })
	return usages
}

// SetPeer merges a peer's usage. Service only grows, so an exchange that arrives out of order changes nothing; members that
// are not named keep their last usage. A restarted peer must come under a new id.
func (a *Accountant) SetPeer(peerID string, usages []Usage) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[peerID]
	if p == nil {
		p = &peer{usages: make(map[string]Usage)}
		a.peers[peerID] = p
	}
	if p.removed {
		p.removed = false
		a.removed = slices.DeleteFunc(a.removed, func(id string) bool { return id == peerID })
	}
	for _, usage := range usages {
		a.merge(p, usage)
	}
}

func (a *Accountant) merge(p *peer, usage Usage) {
	old := p.usages[usage.Member]
	if usage.Service < old.Service {
		return
	}
	account := a.member(usage.Member)
	account.remote += usage.Service - old.Service
	account.remoteRecent.add(usage.Service-old.Service, time.Now())
	a.members.waitRemotely(account, usage.Waiting-old.Waiting)
	p.usages[usage.Member] = usage
}

// RemovePeer forgets a peer's waiting calls; the service that it delivered stays counted.
func (a *Accountant) RemovePeer(peerID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.peers[peerID]
	if p == nil || p.removed {
		return
	}
	for member, usage := range p.usages {
		a.members.waitRemotely(a.member(member), -usage.Waiting)
		usage.Waiting = 0
		p.usages[member] = usage
	}
	p.removed = true
	a.removed = append(a.removed, peerID)
	if len(a.removed) > rememberedPeers {
		delete(a.peers, a.removed[0])
		a.removed = a.removed[1:]
	}
}

// Charge is the account of one running call. It is safe for concurrent use.
type Charge struct {
	accountant *Accountant
	member     *account
	model      *account
	// delivered is what was published; expected is what is still charged in advance.
	delivered float64
	expected  float64
	input     float64
	finished  bool
}

// Start charges the expected cost of a call that starts.
func (a *Accountant) Start(member, model string, expected Cost) *Charge {
	a.mu.Lock()
	defer a.mu.Unlock()
	account := a.member(member)
	c := &Charge{accountant: a, member: account, model: account.models.account(model, 1)}
	c.input = a.weights.service(Cost{InputTokens: expected.InputTokens})
	c.expect(a.weights.service(expected))
	return c
}

// Progress publishes output tokens as they are delivered; the first call also publishes the input. Tokens beyond the
// expected number are charged on top, so that a long response cannot exceed its charge until it ends.
func (c *Charge) Progress(outputTokens int) {
	a := c.accountant
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.finished {
		return
	}
	service := a.weights.service(Cost{OutputTokens: outputTokens}) + c.input
	c.input = 0
	c.deliver(service)
	c.expect(max(0, c.expected-service))
}

// Finish replaces what is still expected by the actual cost of the whole call. What was delivered is not taken back when
// the actual cost is lower. It returns the service of the call.
func (c *Charge) Finish(actual Cost) float64 {
	a := c.accountant
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.finished {
		return c.delivered
	}
	c.finished = true
	c.expect(0)
	c.deliver(max(0, a.weights.service(actual)-c.delivered))
	return c.delivered
}

func (c *Charge) expect(service float64) {
	c.member.expected += service - c.expected
	c.model.expected += service - c.expected
	c.expected = service
}

func (c *Charge) deliver(service float64) {
	c.member.delivered += service
	c.member.localRecent.add(service, time.Now())
	c.model.delivered += service
	c.delivered += service
}
