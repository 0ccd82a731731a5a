package quota

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	_ "github.com/mulberryglade/mulberryglade/internal/testkit"
)

// The rule that the deployment requires, and the longest wait of a request for credit.
const (
	ruleWindow  = 8 * time.Second
	ruleOverage = 0.1
	ruleSlack   = 17000.0
	maxHold     = 400 * time.Millisecond
)

// tester is implemented by the tests of testing and of rapid.
type tester interface {
	Helper()
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
}

// simulation runs instances, their network and their clients in simulated time.
type simulation struct {
	t      tester
	random *rand.Rand
	now    time.Duration
	events eventQueue
	order  int
	nodes  []*node
	byName map[string]*node
	limits Limits
	names  []string
	// delay returns how long a message takes, and whether it arrives at all.
	delay func(from, to *node) (time.Duration, bool)
	// slowCoordinator answers late.
	slowCoordinator *node
	// duplicates is the probability that a message arrives twice.
	duplicates float64
	// rate is the cost that clients demand of a workspace per second, share the part of them at an instance.
	rate  func(workspace int) float64
	share func(n *node, workspace int) float64
	cost  func() float64
	// idealShare is the share of the limits that a single token bucket would have.
	idealShare float64
	// checksShares is set if the sum of the portions is checked after each event.
	checksShares bool
	// returns is set if rejected clients return.
	returns bool

	messages, bytes int
	stats           []workspaceStats
}

type workspaceStats struct {
	offered, admitted, rejected int
	admittedCost                float64
	// held is the total time that requests waited.
	held time.Duration
	sent []sentCost
	// ideal is a token bucket that sees all requests at once, idealRejected what it rejects of them.
	ideal         bucket
	idealRejected int
	// returned and returnedAdmitted count the requests of clients that came back.
	returned, returnedAdmitted int
}

type sentCost struct {
	at   time.Duration
	cost float64
}

type node struct {
	name    string
	region  int
	memory  int
	account *Account
	pool    *Pool
	up      bool
	// frozenUntil is when the process runs again.
	frozenUntil time.Duration
	polledFor   time.Duration
	run         int64
	// offset is the difference of its clock from the simulated time. Each process has another one, as if it ran on
	// another machine.
	offset  time.Duration
	waiting map[int64]*client
}

type client struct {
	workspace int
	cost      float64
	arrivedAt time.Duration
	deadline  time.Duration
	attempts  int
}

type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// newSimulation starts all instances at once, in two regions, with clients that demand rate of each workspace.
func newSimulation(t tester, instances int, limits []Limit, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 2)), byName: make(map[string]*node), returns: true, idealShare: 1}
	s.cost = func() float64 { return 1500 + math.Floor(s.random.Float64()*2500) }
	s.delay = func(from, to *node) (time.Duration, bool) {
		base := 500 * time.Microsecond
		if from.region != to.region {
			base = 20 * time.Millisecond
		}
		return base + time.Duration(s.random.Float64()*float64(2*time.Millisecond)), true
	}
	s.share = func(*node, int) float64 { return 1 / float64(len(s.nodes)) }
	s.setLimits(1, limits)
	for i := range instances {
		n := &node{name: fmt.Sprintf("edge-%d", i), region: i % 2, memory: 184 + 88*(i%5)}
		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.after(time.Second, s.announceMembers)
	return s
}

func (s *simulation) setLimits(version int64, limits []Limit) {
	s.limits = Limits{Version: version, Of: make(map[Key]Limit)}
	s.names = nil
	for i, l := range limits {
		name := fmt.Sprintf("workspace-%d", i)
		s.names = append(s.names, name)
		if l.Rate > 0 {
			s.limits.Of[KeyOf(name)] = l
		}
	}
	if len(s.stats) < len(limits) {
		s.stats = make([]workspaceStats, len(limits))
	}
}

// configureAll puts the limits in force at every instance.
func (s *simulation) configureAll() {
	for _, n := range s.nodes {
		if n.up {
			n.account.Configure(s.limits)
			n.pool.Configure(s.limits, s.clock(n))
		}
	}
}

func (s *simulation) at(at time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, &event{at: max(at, s.now), order: s.order, run: run})
}

// clock returns the time of an instance.
func (s *simulation) clock(n *node) time.Duration { return s.now + n.offset }

func (s *simulation) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// runUntil runs the events up to a time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		e.run()
		if s.checksShares {
			s.checkShares()
		}
	}
	s.now = end
}

// checkShares fails if more than the whole of the quotas can be used: the portions lent, and those that instances use
// themselves. Instances that are frozen count as well, since they may run on at any time.
func (s *simulation) checkShares() {
	sum := 0.0
	for _, n := range s.nodes {
		if !n.up {
			continue
		}
		for _, b := range n.pool.lenders {
			if s.clock(n) < b.lentUntil {
				sum += b.portion
			}
		}
		if s.clock(n) >= n.account.lentUntil && n.account.OwnsPortion(s.clock(n)) {
			sum += 1 / float64(n.account.instances())
		}
	}
	if sum > 1.000001 {
		s.t.Fatalf("%.3f of the quotas can be used at %v", sum, s.now)
	}
}

// start starts a process of an instance. All that are up see it at once.
func (s *simulation) start(n *node) {
	s.startAll([]*node{n})
}

// startAll starts a process of each of some instances.
func (s *simulation) startAll(nodes []*node) {
	for _, n := range nodes {
		s.launch(n)
	}
	if s.now > 0 {
		s.announceMembers()
	}
	for _, n := range nodes {
		s.poll(n)
	}
}

func (s *simulation) launch(n *node) {
	previouslyRegistered := n.run > 0
	n.run++
	n.up = true
	epoch := n.run*1000 + 1
	n.account, n.pool = NewAccount(n.name, epoch), NewPool(epoch)
	if previouslyRegistered {
		n.account.PreviouslyRegistered()
	}
	n.offset = time.Duration(s.random.Float64() * float64(time.Minute))
	n.waiting = make(map[int64]*client)
	n.polledFor = -1
	n.account.Configure(s.limits)
	n.pool.Configure(s.limits, s.clock(n))
}

// stop ends the process of an instance; it stays registered.
func (s *simulation) stop(n *node) {
	n.up = false
	n.run++
	n.waiting = nil
}

func (s *simulation) announceMembers() {
	var members []Member
	for _, n := range s.nodes {
		if n.account != nil {
			members = append(members, Member{Name: n.name, MemoryMB: n.memory})
		}
	}
	for _, n := range s.nodes {
		if n.account != nil {
			n.account.SetMembers(members, s.clock(n))
		}
	}
}

// onNode runs an action on the present process of an instance, after a freeze if there is one.
func (s *simulation) onNode(n *node, at time.Duration, action func()) {
	run := n.run
	s.at(at, func() {
		if !n.up || n.run != run {
			return
		}
		if s.now < n.frozenUntil {
			s.onNode(n, n.frozenUntil, action)
			return
		}
		action()
	})
}

func (s *simulation) poll(n *node) {
	out, next := n.account.Poll(s.clock(n))
	next -= n.offset
	for _, e := range out {
		s.send(n, e)
	}
	if n.polledFor > s.now && n.polledFor <= next {
		return
	}
	n.polledFor = next
	s.onNode(n, next, func() {
		if n.polledFor == next {
			n.polledFor = -1
			s.poll(n)
		}
	})
}

func (s *simulation) send(from *node, e Envelope) {
	to := s.byName[e.To]
	if to == from {
		s.receive(to, from, e.Message)
		return
	}
	s.messages++
	s.bytes += messageBytes(&e.Message)
	copies := 1
	if s.random.Float64() < s.duplicates {
		copies = 2
	}
	for range copies {
		if delay, arrives := s.delay(from, to); arrives {
			if from == s.slowCoordinator && e.Message.Answer != nil {
				delay += 700 * time.Millisecond
			}
			// A message that arrives while the recipient is frozen waits in its socket.
			s.onNode(to, s.now+delay, func() { s.receive(to, from, e.Message) })
		}
	}
}

func (s *simulation) receive(to, from *node, m Message) {
	if m.Request != nil {
		if answer := to.pool.Receive(from.name, m.Request, to.account.Counted(), s.clock(to)); answer != nil {
			s.send(to, Envelope{To: from.name, Message: Message{Answer: answer}})
		}
		return
	}
	for _, d := range to.account.Receive(from.name, m.Answer, s.clock(to)) {
		if c := to.waiting[d.Waiter]; c != nil {
			delete(to.waiting, d.Waiter)
			s.decide(to, c, d)
		}
	}
	if to.account.hasUnasked() {
		s.poll(to)
	}
}

// startClients lets clients send requests of all workspaces from now on.
func (s *simulation) startClients() {
	for w := range s.names {
		for _, n := range s.nodes {
			s.scheduleClient(n, w)
		}
	}
}

// messageBytes estimates the size of the datagram: the encoded message in base64, and the rest of the exchange message.
func messageBytes(m *Message) int { return len(m.Encode())*4/3 + 70 }

const meanCost = 2750

func (s *simulation) scheduleClient(n *node, w int) {
	perSecond := s.rate(w) * s.share(n, w) / meanCost
	if perSecond <= 0 {
		s.after(200*time.Millisecond, func() { s.scheduleClient(n, w) })
		return
	}
	wait := seconds(s.random.ExpFloat64() / perSecond)
	if wait > 500*time.Millisecond {
		// The demand may change in between.
		s.after(500*time.Millisecond, func() { s.scheduleClient(n, w) })
		return
	}
	s.after(wait, func() {
		s.arrive(n, &client{workspace: w, cost: s.cost(), arrivedAt: s.now, deadline: s.now + 20*time.Second})
		s.scheduleClient(n, w)
	})
}

func (s *simulation) arrive(n *node, c *client) {
	if !n.up || s.now < n.frozenUntil {
		return
	}
	c.arrivedAt = s.now
	c.attempts++
	s.stats[c.workspace].offered++
	if c.attempts > 1 {
		s.stats[c.workspace].returned++
	}
	key := KeyOf(s.names[c.workspace])
	stats := &s.stats[c.workspace]
	if limit, limited := s.limits.Of[key]; limited {
		stats.ideal.refill(limit, s.idealShare, s.now)
		if !stats.ideal.take(c.cost, 0) {
			stats.idealRejected++
		}
	}
	d := n.account.Admit(key, c.cost, (c.deadline-s.now)/3, s.clock(n))
	if d.Waiter == 0 {
		s.decide(n, c, d)
		return
	}
	n.waiting[d.Waiter] = c
	s.poll(n)
	s.onNode(n, s.now+maxHold, func() {
		if n.waiting[d.Waiter] == c {
			delete(n.waiting, d.Waiter)
			s.decide(n, c, n.account.Abandon(key, d.Waiter))
		}
	})
}

func (s *simulation) decide(n *node, c *client, d Decision) {
	stats := &s.stats[c.workspace]
	stats.held += s.now - c.arrivedAt
	if d.Admitted {
		if d.Charge.Cost != 0 && d.Charge.Expires <= s.clock(n) {
			s.t.Fatalf("the charge of an admitted request has expired")
		}
		stats.admitted++
		stats.admittedCost += c.cost
		if c.attempts > 1 {
			stats.returnedAdmitted++
		}
		stats.sent = append(stats.sent, sentCost{s.now, c.cost})
		return
	}
	stats.rejected++
	if d.RetryAfter <= 0 {
		s.t.Fatalf("a request is rejected without a time to return")
	}
	if s.returns && d.RetryAfter <= (c.deadline-s.now)/3 {
		s.after(d.RetryAfter, func() {
			s.arrive(s.nodes[s.random.IntN(len(s.nodes))], c)
		})
	}
}

// largestExcess returns by how much the cost sent within any window exceeds the limit's rate times the window plus its
// burst.
func largestExcess(sent []sentCost, limit Limit, window time.Duration) float64 {
	excess, sum, first := math.Inf(-1), 0.0, 0
	for _, c := range sent {
		sum += c.cost
		for sent[first].at <= c.at-window {
			sum -= sent[first].cost
			first++
		}
		excess = max(excess, sum-limit.Rate*window.Seconds()-limit.Burst)
	}
	return excess
}

// checkBound fails if a window of any workspace exceeds what the rule allows.
func (s *simulation) checkBound() {
	s.t.Helper()
	for w, name := range s.names {
		limit, limited := s.limits.Of[KeyOf(name)]
		if !limited {
			continue
		}
		allowed := ruleOverage*(limit.Rate*ruleWindow.Seconds()+limit.Burst) + ruleSlack
		if excess := largestExcess(s.stats[w].sent, limit, ruleWindow); excess > allowed {
			s.t.Errorf("%s exceeds its quota by %.0f in a window, %.0f are allowed", name, excess, allowed)
		}
	}
}

// reset forgets the statistics, so that those of a later period can be read.
func (s *simulation) reset() {
	for w := range s.stats {
		s.stats[w] = workspaceStats{ideal: s.stats[w].ideal}
	}
	s.messages, s.bytes = 0, 0
}
