package peer

import (
	"strings"
	"time"

	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// Sink receives the load of other sources. Counters that it gets for one source never decrease, also when the source
// restarts.
type Sink interface {
	SetLoad(source string, load Load)
	RemoveLoad(source string)
}

// remoteSource is the merged state of one source as received.
type remoteSource struct {
	// from is the peer that sends this source. Two senders of one source are not mixed: each numbers by itself.
	from      string
	held      acknowledgement
	load      Load
	members   map[string]*counter
	models    map[string]*demandCounter
	lastHeard time.Time
	reported  bool
}

// counter turns a source's cumulative value into one that counts from the source's first message and survives restarts
// of the source.
type counter struct {
	baseline float64
	last     float64
	carried  float64
}

// restart keeps what was counted and expects values from zero.
func (c *counter) restart() {
	c.carried += c.last - c.baseline
	c.baseline = 0
	c.last = 0
}

// observe takes a value. In the first message of an epoch the value only sets the baseline, since what the source
// counted before belongs to a time that other instances have already seen or never will.
func (c *counter) observe(value float64, firstMessage bool) float64 {
	if value < c.last {
		c.restart()
	}
	if firstMessage {
		c.baseline = value
	}
	c.last = value
	return c.carried + c.last - c.baseline
}

type demandCounter struct {
	requests counter
	tokens   counter
}

// rememberedSources bounds the sources whose counters are kept while they are silent. A data centre of the design size has
// 28 instances with two sources each, of which about 80 a day are replaced.
const rememberedSources = 512

// inbox holds the sources that other instances sent. It is not safe for concurrent use.
type inbox struct {
	now     func() time.Time
	sources map[string]*remoteSource
	// departed sums the counters of forgotten instances of the own data centre, so that its sum never decreases.
	departed Load
}

func newInbox(now func() time.Time) *inbox {
	return &inbox{now: now, sources: make(map[string]*remoteSource), departed: newLoad()}
}

// sum adds up the instances of the own data centre. Counters include instances that are silent or gone.
func (b *inbox) sum(own Load) Load {
	total := newLoad()
	total.add(own)
	total.add(b.departed)
	for source, s := range b.sources {
		switch {
		case strings.HasPrefix(source, dataCentrePrefix), strings.HasPrefix(source, DemandPrefix):
		case s.reported:
			total.add(s.load)
		default:
			total.add(s.load.withoutGauges())
		}
	}
	return total
}

// apply merges a message from a peer and returns the load to report, or false when the message cannot be applied: it
// starts after what is held, or another live peer already sends this source.
func (b *inbox) apply(from string, m *peerv1.LoadState) (Load, bool) {
	s := b.sources[m.GetSource()]
	if s != nil && s.from != from && b.now().Sub(s.lastHeard) <= silentAfter {
		return Load{}, false
	}
	if s == nil {
		s = &remoteSource{members: make(map[string]*counter), models: make(map[string]*demandCounter)}
		b.sources[m.GetSource()] = s
	}
	newEpoch := s.held.epoch != m.GetEpoch()
	if m.GetSince() != 0 && (newEpoch || m.GetSince() > s.held.sequence) {
		return Load{}, false
	}
	if m.GetSince() == 0 {
		s.load = s.load.withoutGauges()
	}
	s.from = from
	s.lastHeard = b.now()
	s.held = acknowledgement{epoch: m.GetEpoch(), sequence: m.GetSequence()}
	s.merge(m, newEpoch)
	s.mergeReports(m, b.now())
	s.reported = true
	return s.load.clone(), true
}

func (s *remoteSource) merge(m *peerv1.LoadState, newEpoch bool) {
	if newEpoch {
		s.restartCounters()
	}
	// Arrivals during a silence must not look like a burst when the source is heard again.
	rebase := newEpoch || !s.reported
	if !newEpoch && rebase {
		s.restartArrivals()
	}
	for _, e := range m.GetEndpoints() {
		if e.GetInFlight() == 0 {
			delete(s.load.Endpoints, e.GetEndpointHash())
			continue
		}
		s.load.Endpoints[e.GetEndpointHash()] = e.GetInFlight()
	}
	for _, u := range m.GetMembers() {
		c := entry(s.members, u.GetMember())
		s.load.Members[u.GetMember()] = MemberUsage{
			Service: c.observe(float64(u.GetService()), newEpoch),
			Waiting: u.GetWaiting(),
		}
	}
	for _, d := range m.GetModels() {
		c := entry(s.models, d.GetModel())
		s.load.Models[d.GetModel()] = ModelDemand{
			Requests: uint64(c.requests.observe(float64(d.GetRequests()), rebase)),
			Tokens:   uint64(c.tokens.observe(float64(d.GetTokens()), rebase)),
			Waiting:  d.GetWaiting(),
		}
	}
}

func (s *remoteSource) restartCounters() {
	for _, c := range s.members {
		c.restart()
	}
	s.restartArrivals()
}

func (s *remoteSource) restartArrivals() {
	for _, c := range s.models {
		c.requests.restart()
		c.tokens.restart()
	}
}

// entry returns the value of the key, adding a zero one when it is missing.
func entry[T any](entries map[string]*T, key string) *T {
	if e := entries[key]; e != nil {
		return e
	}
	e := new(T)
	entries[key] = e
	return e
}

// acknowledgements lists what is held from one peer.
func (b *inbox) acknowledgements(from string) []*peerv1.Acknowledgement {
	var acks []*peerv1.Acknowledgement
	for source, s := range b.sources {
		if s.from != from {
			continue
		}
		acks = append(acks, &peerv1.Acknowledgement{Source: source, Epoch: s.held.epoch, Sequence: s.held.sequence})
	}
	return acks
}

// expire returns the sources that have been silent and were reported. Their counters are kept, so that a source that
// comes back does not count twice.
func (b *inbox) expire() []string {
	var silent []string
	for source, s := range b.sources {
		if !s.reported || b.now().Sub(s.lastHeard) <= silentAfter {
			continue
		}
		s.reported = false
		s.held = acknowledgement{epoch: s.held.epoch}
		silent = append(silent, source)
	}
	b.forget()
	return silent
}

// forget drops the sources that have been silent for longest, above a bound. A source that returns within the bound goes
// on from its counters: receivers of the load keep the highest value and would ignore counters that begin again.
func (b *inbox) forget() {
	for len(b.sources) > rememberedSources {
		source := b.longestSilent()
		s := b.sources[source]
		if b.now().Sub(s.lastHeard) <= forgetAfter {
			return
		}
		if !strings.HasPrefix(source, dataCentrePrefix) && !strings.HasPrefix(source, DemandPrefix) {
			b.departed.add(s.load.withoutGauges())
		}
		delete(b.sources, source)
	}
}

func (b *inbox) longestSilent() string {
	longest := ""
	for source, s := range b.sources {
		if longest == "" || s.lastHeard.Before(b.sources[longest].lastHeard) {
			longest = source
		}
	}
	return longest
}
