package quota

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Member is a registered instance.
type Member struct {
	Name     string
	MemoryMB int
}

// Envelope is a message to an instance, which may be the sender itself.
type Envelope struct {
	To      string
	Message Message
}

// Charge is what was taken for a request. The request must arrive at an endpoint before Expires. A charge without a cost
// does not expire.
type Charge struct {
	Workspace Key
	Cost      int64
	Expires   time.Duration
}

// Decision is the outcome for a request.
type Decision struct {
	// Waiter identifies a request that waits for the coordinator's answer; zero if it is decided.
	Waiter   int64
	Admitted bool
	Charge   Charge
	// RetryAfter is when a rejected request will fit.
	RetryAfter time.Duration
}

const (
	// creditTime is how long after its request a credit may be used, and sendTime how long after it the charged request
	// may be sent. Within a window, tokens of a period that is longer than the window by sendTime can be used: 6% of a
	// window of 8 s, of an overage of 10%.
	creditTime = 350 * time.Millisecond
	sendTime   = 500 * time.Millisecond
	// answerTimeout is the time after which an answer counts as missing. Its credits would hardly be usable.
	answerTimeout = 250 * time.Millisecond
	// maxMissed is the number of consecutive missing answers after which the next instance is asked, if the last answer
	// is older than minSilence. An instance that has never answered is given up after one.
	maxMissed  = 3
	minSilence = 600 * time.Millisecond
	// firstProbePause is how long an instance that does not answer is not asked again; it doubles up to maxProbePause. An
	// instance that answers for maxProbePause begins anew.
	firstProbePause = 2 * time.Second
	maxProbePause   = 30 * time.Second
	// minLenders is the number of portions that a coordinator must have isolationTime after this instance has begun to lend
	// to it, or else the next one is asked. A coordinator to which only one instance lends is probably out of reach for the
	// others; the half allows for instances that count differently.
	minLenders    = 1.5
	isolationTime = 4 * time.Second
	// loanIntervals is the length of a loan in intervals between its renewals.
	loanIntervals = 3
	// clockMargin and clockDrift are added to a loan at the lender, for different clock rates.
	clockMargin = 5 * time.Millisecond
	clockDrift  = 0.01
	// settleTime is the time from an instance's registration until it uses its portion. By then the others count it: a
	// registration that the store lost is renewed within 8 s and read by the others within 1.5 s.
	settleTime = 10 * time.Second
	// restartSettleTime replaces settleTime for an instance whose previous process was registered, so that the others
	// count it already. It exceeds the longest loan of that process.
	restartSettleTime = 2 * time.Second
	// memberRetention is how long an instance that is no longer registered is counted. An instance that is cut off from
	// the store keeps its portion for registrationUse after it last confirmed its registration, which is shorter.
	memberRetention = 10 * time.Minute
	registrationUse = 9 * time.Minute
	// retryWithoutAnswer is the retry time of requests that no coordinator has answered. Another one has taken over
	// by then.
	retryWithoutAnswer = time.Second

	// minAdvanceRequests is the number of requests expected within the lifetime of a credit from which credits are
	// requested in advance. With fewer, most would expire unused.
	minAdvanceRequests = 0.5
	// maxCosts bounds the waiting requests of a workspace in one message.
	maxCosts = 32
)

// The intervals grow with the number of instances, so that the coordinator gets no more than about 840 requests for
// credit and 180 renewals per second at 63 instances, and 1,300 and 650 at 390.
func requestGap(instances int) time.Duration {
	return min(max(time.Duration(instances)*1200*time.Microsecond, 50*time.Millisecond), 300*time.Millisecond)
}

func renewalInterval(instances int) time.Duration {
	return min(max(time.Duration(instances)*5500*time.Microsecond, 350*time.Millisecond), 600*time.Millisecond)
}

// Account is an instance's side: its own portions, loans, credits and the requests that wait for credit.
type Account struct {
	self   string
	epoch  int64
	limits Limits

	// members are the registered instances in the order in which they are asked for credit.
	members []Member
	// seenAt is when each instance was last registered.
	seenAt map[string]time.Duration
	// registeredAt is when this instance first saw its registration; negative before. confirmedAt is when the store last
	// confirmed it.
	registeredAt, confirmedAt time.Duration
	// settle is the time from registeredAt until this instance uses its portion.
	settle time.Duration
	// reportedInstances is the number of instances in the newest answer.
	reportedInstances int

	coordinator coordinator
	// lentTo may use this instance's portion until lentUntil.
	lentTo       coordinator
	lentUntil    time.Duration
	unresponsive map[string]*unresponsiveMember

	number   int64
	sentAt   time.Duration
	requests map[int64]*sentRequest

	workspaces map[Key]*workspace
	nextWaiter int64
	usage      map[Key]float64
}

// coordinator is an instance that is asked for credit.
type coordinator struct {
	name string
	// epoch and time are those of its newest answer; epoch is zero before the first one.
	epoch int64
	time  time.Duration
	// missed counts the missing answers since answeredAt.
	missed     int
	answeredAt time.Duration
	// isolatedSince is since when it has had fewer than minLenders portions, or since when it is asked.
	isolatedSince time.Duration
}

// unresponsiveMember is an instance that did not answer, or that has not been asked yet although it comes before the
// coordinator.
type unresponsiveMember struct {
	// silent is set until it answers.
	silent  bool
	retryAt time.Duration
	// pause is the time between questions whether it answers again. It doubles each time.
	pause time.Duration
	// isolatedUntil is until when it is asked for credit again only if others lend to it.
	isolatedUntil time.Duration
}

type sentRequest struct {
	to     string
	sentAt time.Duration
}

// workspace is an instance's state of one workspace.
type workspace struct {
	own     bucket
	credits []credit
	waiting []waiter
	used    int64
	// demand is the cost and requests the number of requests per second.
	demand, requests decayingRate
}

type credit struct {
	amount  float64
	expires time.Duration
}

type waiter struct {
	id       int64
	cost     int64
	patience time.Duration
	// request is the number of the request that asks for credit; zero before.
	request int64
}

// NewAccount returns the account of an instance. The epoch identifies the process and is not zero.
func NewAccount(self string, epoch int64) *Account {
	return &Account{
		self: self, epoch: epoch, seenAt: make(map[string]time.Duration), registeredAt: -1, settle: settleTime,
		unresponsive: make(map[string]*unresponsiveMember), requests: make(map[int64]*sentRequest), workspaces: make(map[Key]*workspace),
		sentAt: -time.Hour,
	}
}

// Configure puts limits in force. It returns the decisions on waiting requests of workspaces that are no longer limited.
func (a *Account) Configure(limits Limits) []Decision {
	a.limits = limits
	var decisions []Decision
	for key, w := range a.workspaces {
		if _, limited := limits.Of[key]; limited {
			continue
		}
		for i := range w.waiting {
			decisions = append(decisions, Decision{Waiter: w.waiting[i].id, Admitted: true})
		}
		delete(a.workspaces, key)
	}
	return decisions
}

// SetMembers replaces the registered instances.
func (a *Account) SetMembers(members []Member, now time.Duration) {
	a.members = slices.Clone(members)
	slices.SortFunc(a.members, func(x, y Member) int {
		return cmp.Or(cmp.Compare(y.MemoryMB, x.MemoryMB), cmp.Compare(hashOf(x.Name), hashOf(y.Name)), cmp.Compare(x.Name, y.Name))
	})
	for _, m := range members {
		a.seenAt[m.Name] = now
		if m.Name == a.self && a.registeredAt < 0 {
			a.registeredAt, a.confirmedAt = now, max(a.confirmedAt, now)
		}
	}
	for name, at := range a.seenAt {
		if now-at >= memberRetention {
			delete(a.seenAt, name)
		}
	}
}

func hashOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// PreviouslyRegistered records that a previous process of this instance was still registered when this one started.
func (a *Account) PreviouslyRegistered() {
	a.settle = restartSettleTime
}

// ConfirmRegistration records that the store confirmed this instance's registration by a call sent at a time.
func (a *Account) ConfirmRegistration(sentAt time.Duration) {
	a.confirmedAt = max(a.confirmedAt, sentAt)
}

// Counted is the number of instances registered within memberRetention.
func (a *Account) Counted() int {
	return max(len(a.seenAt), 1)
}

func (a *Account) instances() int {
	return max(a.Counted(), a.reportedInstances)
}

// AnswerTime is the time within which a request that waits is decided if the coordinator answers: it waits for the next
// message that asks for credit, and for its answer.
func (a *Account) AnswerTime() time.Duration {
	return requestGap(a.instances()) + answerTimeout
}

// Coordinator returns the instance that is asked for credit; empty if none has answered.
func (a *Account) Coordinator() string {
	if a.coordinator.epoch == 0 {
		return ""
	}
	return a.coordinator.name
}

// Usage returns the cost per second that all instances admit for each workspace, as of the newest answer that says so.
// The caller must not change it.
func (a *Account) Usage() map[Key]float64 {
	return a.usage
}

// OwnsPortion reports whether the others count this instance, so that it may use or lend its portion.
func (a *Account) OwnsPortion(now time.Duration) bool {
	return a.registeredAt >= 0 && now-a.registeredAt >= a.settle && now-a.confirmedAt < registrationUse
}

func (a *Account) workspace(key Key, now time.Duration) *workspace {
	w := a.workspaces[key]
	if w == nil {
		w = &workspace{own: bucket{updated: now}}
		a.workspaces[key] = w
	}
	return w
}

// Admit decides on a request that arrives. Patience is how far in the future the client may return. The caller ends the
// wait of a request that has a Waiter by Receive or Abandon.
func (a *Account) Admit(key Key, cost float64, patience, now time.Duration) Decision {
	if _, limited := a.limits.Of[key]; !limited {
		return Decision{Admitted: true}
	}
	w := a.workspace(key, now)
	w.demand.add(cost, now)
	w.requests.add(1, now)
	return a.Renew(key, cost, patience, now)
}

// Renew decides again on a request whose charge expired before it was sent.
func (a *Account) Renew(key Key, cost float64, patience, now time.Duration) Decision {
	if _, limited := a.limits.Of[key]; !limited || cost <= 0 {
		return Decision{Admitted: true}
	}
	w := a.workspace(key, now)
	rounded := int64(math.Ceil(cost))
	if len(w.waiting) == 0 {
		if charge, ok := a.charge(key, w, rounded, now); ok {
			return Decision{Admitted: true, Charge: charge}
		}
	}
	if a.mayAsk(now) == "" || len(w.waiting) >= maxCosts {
		return Decision{RetryAfter: retryWithoutAnswer}
	}
	a.nextWaiter++
	w.waiting = append(w.waiting, waiter{id: a.nextWaiter, cost: rounded, patience: patience})
	return Decision{Waiter: a.nextWaiter}
}

// charge takes a cost from the credits or from the own portion.
func (a *Account) charge(key Key, w *workspace, cost int64, now time.Duration) (Charge, bool) {
	w.credits = slices.DeleteFunc(w.credits, func(c credit) bool { return c.expires <= now })
	total := 0.0
	for _, c := range w.credits {
		total += c.amount
	}
	if total >= float64(cost) {
		return chargeCredits(key, w, cost), true
	}
	a.refillOwn(key, w, now)
	if !w.own.take(float64(cost), 0) {
		return Charge{}, false
	}
	w.used += cost
	return Charge{Workspace: key, Cost: cost, Expires: now + sendTime}, true
}

// chargeCredits takes a cost from the credits that expire first. The credits cover it.
func chargeCredits(key Key, w *workspace, cost int64) Charge {
	slices.SortFunc(w.credits, func(x, y credit) int { return cmp.Compare(x.expires, y.expires) })
	charge := Charge{Workspace: key, Cost: cost, Expires: w.credits[0].expires + sendTime - creditTime}
	rest := float64(cost)
	for rest > 0 {
		part := min(rest, w.credits[0].amount)
		w.credits[0].amount -= part
		rest -= part
		if w.credits[0].amount <= 0 {
			w.credits = w.credits[1:]
		}
	}
	w.used += cost
	return charge
}

// refillOwn refills the bucket of the own portion, which is empty while it is lent or not owned.
func (a *Account) refillOwn(key Key, w *workspace, now time.Duration) {
	if now < a.lentUntil || !a.OwnsPortion(now) {
		w.own = bucket{updated: now}
		return
	}
	w.own.updated = max(w.own.updated, a.lentUntil, a.registeredAt+a.settle)
	w.own.refill(a.limits.Of[key], 1/float64(a.instances()), now)
}

// Refund returns the charge of a request that no endpoint has run. It can be used until its credit expires.
func (a *Account) Refund(c Charge) {
	w := a.workspaces[c.Workspace]
	if w == nil || c.Cost == 0 {
		return
	}
	w.used -= min(c.Cost, w.used)
	w.credits = append(w.credits, credit{amount: float64(c.Cost), expires: c.Expires - sendTime + creditTime})
}

// Abandon ends the wait of a request, as rejected.
func (a *Account) Abandon(key Key, id int64) Decision {
	if w := a.workspaces[key]; w != nil {
		w.waiting = slices.DeleteFunc(w.waiting, func(x waiter) bool { return x.id == id })
	}
	return Decision{RetryAfter: retryWithoutAnswer}
}

// mayAsk returns the instance to ask for credit: the one that has this instance's loan, and afterwards the coordinator.
// It returns an empty string if there is none.
func (a *Account) mayAsk(now time.Duration) string {
	if now < a.lentUntil && !a.silent(a.lentTo.name) {
		return a.lentTo.name
	}
	return a.coordinator.name
}

// Poll returns the messages to send now, and the time at which to call it again. It is also called when a request begins
// to wait.
func (a *Account) Poll(now time.Duration) ([]Envelope, time.Duration) {
	instances := a.instances()
	if len(a.limits.Of) == 0 {
		return nil, now + renewalInterval(instances)
	}
	a.findMissing(now)
	out := a.selectCoordinator(now)
	to := a.mayAsk(now)
	if to == "" {
		return out, now + renewalInterval(instances)
	}
	if now >= a.sentAt+renewalInterval(instances) || now >= a.sentAt+requestGap(instances) && a.hasUnasked() {
		a.sentAt = now
		out = append(out, a.request(to, true, now))
		if to != a.coordinator.name && a.coordinator.name != "" {
			out = append(out, a.request(a.coordinator.name, false, now))
		}
	}
	next := a.sentAt + renewalInterval(instances)
	if a.hasUnasked() {
		next = a.sentAt + requestGap(instances)
	}
	return out, max(next, now+time.Millisecond)
}

func (a *Account) hasUnasked() bool {
	for _, w := range a.workspaces {
		for i := range w.waiting {
			if w.waiting[i].request == 0 {
				return true
			}
		}
	}
	return false
}

// findMissing counts the answers that are missing, and lets the requests that wait for them be asked for again.
func (a *Account) findMissing(now time.Duration) {
	for number, r := range a.requests {
		if now-r.sentAt < answerTimeout {
			continue
		}
		delete(a.requests, number)
		a.askAgain(number)
		for _, c := range []*coordinator{&a.coordinator, &a.lentTo} {
			if c.name != r.to {
				continue
			}
			c.missed++
			if c.epoch == 0 || c.missed >= maxMissed && now-c.answeredAt >= minSilence {
				a.markUnresponsive(r.to, now)
			}
			break
		}
	}
}

func (a *Account) askAgain(number int64) {
	for _, w := range a.workspaces {
		for i := range w.waiting {
			if w.waiting[i].request == number {
				w.waiting[i].request = 0
			}
		}
	}
}

func (a *Account) silent(name string) bool {
	s := a.unresponsive[name]
	return s != nil && s.silent
}

func (a *Account) markUnresponsive(name string, now time.Duration) {
	s := a.unresponsive[name]
	if s == nil {
		s = &unresponsiveMember{pause: firstProbePause}
		a.unresponsive[name] = s
	}
	if !s.silent {
		s.silent, s.retryAt = true, now+s.pause
		s.pause = min(2*s.pause, maxProbePause)
	}
	if a.coordinator.name == name {
		a.coordinator = coordinator{}
	}
}

// selectCoordinator keeps the first member that answers as the coordinator. It asks those that come before it at
// intervals whether they answer again.
func (a *Account) selectCoordinator(now time.Duration) []Envelope {
	if !slices.ContainsFunc(a.members, func(m Member) bool { return m.Name == a.coordinator.name }) {
		a.coordinator = coordinator{}
	}
	var out []Envelope
	for _, m := range a.members {
		if m.Name == a.coordinator.name {
			break
		}
		if a.coordinator.name == "" && !a.silent(m.Name) {
			a.coordinator = coordinator{name: m.Name, answeredAt: now, isolatedSince: now}
			// The first request is sent at once.
			a.sentAt = min(a.sentAt, now-renewalInterval(a.instances()))
			break
		}
		if a.unresponsive[m.Name] == nil {
			a.unresponsive[m.Name] = &unresponsiveMember{silent: true, pause: firstProbePause}
		}
		if s := a.unresponsive[m.Name]; now >= s.retryAt && len(out) == 0 {
			s.silent, s.retryAt = true, now+s.pause
			s.pause = min(2*s.pause, maxProbePause)
			out = append(out, a.request(m.Name, false, now))
		}
	}
	return out
}

// request returns the next request to an instance, with or without the demand.
func (a *Account) request(to string, withDemand bool, now time.Duration) Envelope {
	a.number++
	r := &Request{Epoch: a.epoch, Number: a.number, Version: a.limits.Version, Instances: a.instances()}
	a.requests[a.number] = &sentRequest{to: to, sentAt: now}
	if to == a.coordinator.name {
		r.CoordinatorEpoch, r.CoordinatorTime = a.coordinator.epoch, a.coordinator.time
		a.lend(r, now)
	}
	if withDemand {
		r.Demands = a.demands(a.number, now)
	}
	return Envelope{To: to, Message: Message{Request: r}}
}

// lend adds the loan of the portion to a request to the coordinator, unless another process may still use it.
func (a *Account) lend(r *Request, now time.Duration) {
	sameProcess := a.lentTo.name == a.coordinator.name && a.lentTo.epoch == a.coordinator.epoch
	if a.coordinator.epoch == 0 || !a.OwnsPortion(now) || now < a.lentUntil && !sameProcess {
		return
	}
	r.LentFor = time.Duration(loanIntervals * float64(renewalInterval(a.instances())))
	// The coordinator counts from a time before now.
	until := now + r.LentFor + time.Duration(float64(r.LentFor)*clockDrift) + clockMargin
	a.lentTo, a.lentUntil = a.coordinator, max(a.lentUntil, until)
	for _, w := range a.workspaces {
		w.own = bucket{updated: now}
	}
}

func (a *Account) demands(number int64, now time.Duration) []Demand {
	var demands []Demand
	for key, w := range a.workspaces {
		d := Demand{Workspace: key, Used: w.used, Advance: w.advance(now)}
		for i := range w.waiting {
			if w.waiting[i].request == 0 {
				w.waiting[i].request = number
				d.Costs = append(d.Costs, w.waiting[i].cost)
				d.Patience = max(d.Patience, w.waiting[i].patience)
			}
		}
		if len(d.Costs) > 0 || d.Advance > 0 || w.requests.at(now) > 0.01 {
			demands = append(demands, d)
		}
	}
	slices.SortFunc(demands, func(x, y Demand) int { return cmp.Compare(x.Workspace, y.Workspace) })
	return demands
}

// advance returns the credit to request in advance.
func (w *workspace) advance(now time.Duration) int64 {
	expected := w.requests.at(now) * creditTime.Seconds()
	if expected < minAdvanceRequests {
		return 0
	}
	meanCost := w.demand.at(now) / w.requests.at(now)
	held := 0.0
	for _, c := range w.credits {
		if c.expires > now {
			held += c.amount
		}
	}
	return max(int64(math.Ceil(expected)*meanCost-held), 0)
}

// Receive takes an answer. It returns the decisions on the requests that waited for it.
func (a *Account) Receive(from string, answer *Answer, now time.Duration) []Decision {
	sent := a.requests[answer.Request]
	if answer.RequestEpoch != a.epoch || sent == nil || sent.to != from {
		return nil
	}
	if now-sent.sentAt >= answerTimeout {
		a.findMissing(now)
		return nil
	}
	delete(a.requests, answer.Request)
	a.recordAnswer(from, answer, now)
	var decisions []Decision
	for i := range answer.Grants {
		decisions = append(decisions, a.applyGrant(&answer.Grants[i], answer.Request, sent.sentAt, now)...)
	}
	// The coordinator's configuration does not limit the workspaces of the requests that are left.
	for key, w := range a.workspaces {
		decisions = append(decisions, a.reject(key, w, answer.Request, retryWithoutAnswer)...)
	}
	return decisions
}

func (a *Account) recordAnswer(from string, answer *Answer, now time.Duration) {
	a.reportedInstances = answer.Instances
	if len(answer.Usage) > 0 {
		a.usage = make(map[Key]float64, len(answer.Usage))
		for _, u := range answer.Usage {
			a.usage[u.Workspace] = float64(u.PerSecond)
		}
	}
	if a.lentTo.name == from {
		a.lentTo.missed, a.lentTo.answeredAt = 0, now
	}
	if from != a.coordinator.name && !a.precedes(from) {
		return
	}
	lenders := float64(answer.Share) * float64(a.instances()) / 1e6
	if s := a.unresponsive[from]; s != nil {
		if from != a.coordinator.name && now < s.isolatedUntil && lenders < minLenders-1 {
			s.pause = firstProbePause
			return
		}
		s.silent = false
		if now-s.retryAt >= maxProbePause {
			delete(a.unresponsive, from)
		}
	}
	isolatedSince := a.coordinator.isolatedSince
	if from != a.coordinator.name || a.instances() == 1 || !a.OwnsPortion(now) || lenders >= minLenders {
		isolatedSince = now
	}
	a.coordinator = coordinator{name: from, epoch: answer.Epoch, time: answer.Time, answeredAt: now, isolatedSince: isolatedSince}
	if now-isolatedSince >= isolationTime {
		a.markUnresponsive(from, now)
		a.unresponsive[from].isolatedUntil = now + maxProbePause
	}
}

// precedes reports whether an instance comes before the coordinator in the order of the members.
func (a *Account) precedes(name string) bool {
	for _, m := range a.members {
		switch m.Name {
		case a.coordinator.name:
			return false
		case name:
			return true
		}
	}
	return false
}

func (a *Account) applyGrant(g *Grant, number int64, sentAt, now time.Duration) []Decision {
	w := a.workspaces[g.Workspace]
	if w == nil {
		return nil
	}
	amount := float64(g.Amount)
	limit := a.limits.Of[g.Workspace]
	if g.Rate > limit.Rate {
		// The lower of two limits counts while configurations differ.
		amount = math.Floor(amount * limit.Rate / g.Rate)
	}
	if amount > 0 && now < sentAt+creditTime {
		w.credits = append(w.credits, credit{amount: amount, expires: sentAt + creditTime})
	}
	var decisions []Decision
	for _, x := range slices.Clone(w.waiting) {
		if x.request != number {
			continue
		}
		if charge, ok := a.charge(g.Workspace, w, x.cost, now); ok {
			decisions = append(decisions, Decision{Waiter: x.id, Admitted: true, Charge: charge})
			w.waiting = slices.DeleteFunc(w.waiting, func(y waiter) bool { return y.id == x.id })
		}
	}
	return append(decisions, a.reject(g.Workspace, w, number, max(g.Wait, time.Millisecond))...)
}

// reject rejects the requests that wait for an answer. Each is told to return when those before it have been covered.
func (a *Account) reject(key Key, w *workspace, number int64, wait time.Duration) []Decision {
	var decisions []Decision
	rate := a.limits.Of[key].Rate
	w.waiting = slices.DeleteFunc(w.waiting, func(x waiter) bool {
		if x.request != number {
			return false
		}
		decisions = append(decisions, Decision{Waiter: x.id, RetryAfter: wait})
		wait += seconds(float64(x.cost) / rate)
		return true
	})
	return decisions
}
