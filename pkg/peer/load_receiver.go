package peer

import (
	"strings"
	"time"

	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
)

// LoadSink receives the load of other sources. The counters of a source never decrease, even when the source restarts.
type LoadSink interface {
	SetLoad(source string, load Load)
	RemoveLoad(source string)
}

// remoteSource is the merged state of one source.
type remoteSource struct {
	// sender is the peer that sends this source. Messages of different senders are not mixed, since each numbers its
	// messages separately.
	sender string
	// acknowledged is the last applied sequence, which is acknowledged to the sender.
	acknowledged   acknowledgement
	load           Load
	members        map[string]*counter
	models         map[string]*demandCounter
	lastReceivedAt time.Time
	// reported is true while the Sink has the load of this source.
	reported bool
}

// counter converts the cumulative value of a source into one that starts at zero with the first message and continues
// when the source restarts.
type counter struct {
	// baseline and last are values of the current epoch: the one to count from and the latest.
	baseline float64
	last     float64
	// accumulated is the count up to the last restart.
	accumulated float64
}

// restart keeps the count so far and expects values that start at zero.
func (c *counter) restart() {
	c.accumulated += c.last - c.baseline
	c.baseline = 0
	c.last = 0
}

// observe records a value and returns the count. The value of the first message of an epoch only sets the baseline:
// other instances have already received what the source counted before it, or never will.
func (c *counter) observe(value float64, firstMessage bool) float64 {
	if value < c.last {
		c.restart()
	}
	if firstMessage {
		c.baseline = value
	}
	c.last = value
	return c.accumulated + c.last - c.baseline
}

type demandCounter struct {
	requests counter
	tokens   counter
}

// maxSources is the number of sources above which silent ones are removed with their counters. A data centre of the
// design size has 28 instances with two sources each, and about 80 instances a day are replaced.
const maxSources = 512

// loadReceiver merges the load messages of other instances. It is not safe for concurrent use.
type loadReceiver struct {
	now     func() time.Time
	sources map[string]*remoteSource
	// removedTotal is the sum of the counters of removed instances of the own data centre. It keeps the sum of the data
	// centre from decreasing.
	removedTotal Load
}

func newLoadReceiver(now func() time.Time) *loadReceiver {
	return &loadReceiver{now: now, sources: make(map[string]*remoteSource), removedTotal: newLoad()}
}

// sum returns the sum over the instances of the own data centre. Its counters include instances that are silent or
// removed.
func (r *loadReceiver) sum(own Load) Load {
	total := newLoad()
	total.add(own)
	total.add(r.removedTotal)
	for source, s := range r.sources {
		switch {
		case strings.HasPrefix(source, dataCentrePrefix), strings.HasPrefix(source, DemandSourcePrefix):
		case s.reported:
			total.add(s.load)
		default:
			total.add(s.load.countersOnly())
		}
	}
	return total
}

// apply merges a message of a peer and returns the load of the source. It returns false when the message builds on a
// sequence that was not applied here, or when another live peer already sends this source.
func (r *loadReceiver) apply(sender string, m *peerv1.LoadState) (Load, bool) {
	s := r.sources[m.GetSource()]
	if s != nil && s.sender != sender && r.now().Sub(s.lastReceivedAt) <= livenessTimeout {
		return Load{}, false
	}
	if s == nil {
		s = &remoteSource{members: make(map[string]*counter), models: make(map[string]*demandCounter)}
		r.sources[m.GetSource()] = s
	}
	newEpoch := s.acknowledged.epoch != m.GetEpoch()
	if m.GetSince() != 0 && (newEpoch || m.GetSince() > s.acknowledged.sequence) {
		return Load{}, false
	}
	if m.GetSince() == 0 {
		s.load = s.load.countersOnly()
	}
	s.sender = sender
	s.lastReceivedAt = r.now()
	s.acknowledged = acknowledgement{epoch: m.GetEpoch(), sequence: m.GetSequence()}
	s.merge(m, newEpoch)
	s.mergeReports(m, r.now())
	s.reported = true
	return s.load.clone(), true
}

func (s *remoteSource) merge(m *peerv1.LoadState, newEpoch bool) {
	if newEpoch {
		s.restartCounters()
	}
	// Arrivals while the source was silent must not look like a burst when it sends again.
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
		c := getOrCreate(s.members, u.GetMember())
		s.load.Members[u.GetMember()] = MemberUsage{
			Service: c.observe(float64(u.GetService()), newEpoch),
			Waiting: u.GetWaiting(),
		}
	}
	for _, d := range m.GetModels() {
		c := getOrCreate(s.models, d.GetModel())
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

// getOrCreate returns the value of the key. It adds a zero value if the key is missing.
func getOrCreate[T any](entries map[string]*T, key string) *T {
	if e := entries[key]; e != nil {
		return e
	}
	e := new(T)
	entries[key] = e
	return e
}

// acknowledgements returns the last applied sequence of each source that the peer sends.
func (r *loadReceiver) acknowledgements(sender string) []*peerv1.Acknowledgement {
	var acks []*peerv1.Acknowledgement
	for source, s := range r.sources {
		if s.sender != sender {
			continue
		}
		acks = append(acks, &peerv1.Acknowledgement{
			Source: source, Epoch: s.acknowledged.epoch, Sequence: s.acknowledged.sequence,
		})
	}
	return acks
}

// expire returns the reported sources that have become silent and marks them as not reported. It keeps their counters,
// so that a source that sends again is not counted twice.
func (r *loadReceiver) expire() []string {
	var silent []string
	for source, s := range r.sources {
		if !s.reported || r.now().Sub(s.lastReceivedAt) <= livenessTimeout {
			continue
		}
		s.reported = false
		s.acknowledged = acknowledgement{epoch: s.acknowledged.epoch}
		silent = append(silent, source)
	}
	r.removeExcess()
	return silent
}

// removeExcess removes the longest silent sources above maxSources. A source that is kept continues from its counters
// when it sends again: receivers of the load keep the highest value and would ignore counters that start again at zero.
func (r *loadReceiver) removeExcess() {
	for len(r.sources) > maxSources {
		source := r.longestSilent()
		s := r.sources[source]
		if r.now().Sub(s.lastReceivedAt) <= removalTimeout {
			return
		}
		if !strings.HasPrefix(source, dataCentrePrefix) && !strings.HasPrefix(source, DemandSourcePrefix) {
			r.removedTotal.add(s.load.countersOnly())
		}
		delete(r.sources, source)
	}
}

func (r *loadReceiver) longestSilent() string {
	longest := ""
	for source, s := range r.sources {
		if longest == "" || s.lastReceivedAt.Before(r.sources[longest].lastReceivedAt) {
			longest = source
		}
	}
	return longest
}
