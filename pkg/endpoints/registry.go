package endpoints

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

const (
	// defaultReportInterval and defaultReportTimeout are short enough for two failed polls within 3 s, the time in
	// which a leaving endpoint must stop receiving calls.
	defaultReportInterval = 500 * time.Millisecond
	defaultReportTimeout  = 700 * time.Millisecond
	// defaultStaleAfter is three exchange intervals of 1 s, so that a single lost exchange does not count as a
	// partition.
	defaultStaleAfter = 3 * time.Second
	// defaultPollsPerSecond bounds the polls of one instance, so that the traffic does not grow with the fleet.
	defaultPollsPerSecond = 20
)

// Options are the parameters of a registry. Zero values select the defaults.
type Options struct {
	// ReportInterval is the time between two polls of an endpoint with calls of this instance. Other endpoints are
	// polled less often if PollsPerSecond would be exceeded.
	ReportInterval time.Duration
	ReportTimeout  time.Duration
	PollsPerSecond float64
	// StaleAfter is the time without a message from a peer after which its in-flight counts are stale.
	StaleAfter time.Duration
	// Instance and DataCentre identify this instance. Without a data centre, it polls all endpoints itself.
	Instance   string
	DataCentre string
}

func (o Options) withDefaults() Options {
	if o.ReportInterval == 0 {
		o.ReportInterval = defaultReportInterval
	}
	if o.ReportTimeout == 0 {
		o.ReportTimeout = defaultReportTimeout
	}
	if o.StaleAfter == 0 {
		o.StaleAfter = defaultStaleAfter
	}
	if o.PollsPerSecond == 0 {
		o.PollsPerSecond = defaultPollsPerSecond
	}
	return o
}

// Load is the number of calls of an instance at one endpoint.
type Load struct {
	EndpointHash uint64
	InFlight     int
}

// HashName returns the hash that identifies an endpoint in messages between peers.
func HashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Registry holds the known state of all declared endpoints. It is safe for concurrent use.
type Registry struct {
	reporter engine.Reporter
	loads    LoadReader
	log      *zap.Logger
	options  Options

	mu         sync.RWMutex
	pollers    conc.WaitGroup
	ctx        context.Context // nil while Run is not active
	entries    map[string]*entry
	byHash     map[uint64]*entry
	byService  map[string][]*entry
	byArtifact map[artifactKey][]*entry
	peers      map[string]*peer
	// peerInFlight is the sum of the in-flight counts of all peers, by endpoint hash.
	peerInFlight map[uint64]int
	leaving      map[string]bool
	// inUseCount is the number of endpoints with calls of this instance. localCount is the number of all declared
	// endpoints of its data centre.
	inUseCount int
	localCount int
	// selfHash is the hash of this instance. peerPollers are the other running instances of its data centre.
	selfHash    uint64
	peerPollers []peerPoller

	onChange func()
	events   EventSink // nil when cache events are not read
}

// EventSink receives the cache events of engines.
type EventSink interface {
	// LastSequence returns the sequence number after which events of the incarnation are requested.
	LastSequence(endpoint, incarnation string) int64
	// Apply receives events in the order in which they were read.
	Apply(endpoint, incarnation string, events []engine.CacheEvent)
}

// artifactKey identifies an artifact that endpoints of a service can load.
type artifactKey struct {
	service string
	kind    engine.ArtifactKind
	name    string
}

type peer struct {
	lastReceivedAt time.Time
	inFlight       map[uint64]int
	// failing holds the hashes of the endpoints whose reports the peer cannot read.
	failing map[uint64]bool
}

type entry struct {
	declared *config.Endpoint
	hash     uint64
	plain    bool
	stop     context.CancelFunc // nil if no poll goroutine is running

	// knownSince is the time when the endpoint became known.
	knownSince time.Time
	report     *engine.Report
	reportedAt time.Time
	// reportIsOwn reports whether the report comes from a poll of this instance. ownPolledAt is the time of this
	// instance's last poll.
	reportIsOwn bool
	ownPolledAt time.Time
	// polling reports whether sweep is polling the endpoint. polledAt is the time when its last poll started or ended.
	polling             bool
	polledAt            time.Time
	ownInFlightAtReport int
	ownInFlight         int
	everUsed            bool // true once a call was sent; LocalLoads includes such endpoints

	outlier         outlier
	limiter         limiter
	betweenTokens   movingAverage
	duration        movingAverage
	peakPrefillRate float64
	// prefillDoneAt is the time by which the prompts of this instance's calls are expected to have been processed.
	// pendingPrefill is the sum of the prefill times of the calls without a first token. It bounds the error of a wrong
	// prefill rate.
	prefillDoneAt  time.Time
	pendingPrefill time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry(reporter engine.Reporter, loads LoadReader, log *zap.Logger, options Options) *Registry {
	return &Registry{
		reporter:     reporter,
		loads:        loads,
		log:          log,
		options:      options.withDefaults(),
		selfHash:     xxhash.Sum64String(options.Instance),
		entries:      make(map[string]*entry),
		byHash:       make(map[uint64]*entry),
		byService:    make(map[string][]*entry),
		byArtifact:   make(map[artifactKey][]*entry),
		peers:        make(map[string]*peer),
		peerInFlight: make(map[uint64]int),
		leaving:      make(map[string]bool),
		onChange:     func() {},
	}
}

// OnChange sets the function that is called after a change that can free capacity. It is called without locks held. It
// must be set before Run and Apply.
func (r *Registry) OnChange(onChange func()) {
	r.onChange = onChange
}

// SetEventSink sets the sink that receives cache events. It must be called before Run.
func (r *Registry) SetEventSink(sink EventSink) {
	r.events = sink
}

// Run polls endpoints until the context ends.
func (r *Registry) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	for _, e := range r.entries {
		r.startPoller(e)
	}
	r.mu.Unlock()
	r.sweep(ctx)
	r.mu.Lock()
	r.ctx = nil
	r.mu.Unlock()
	r.pollers.Wait()
}

// Apply replaces the declared endpoints by those of the snapshot. New endpoints are polled, removed ones are dropped,
// and an endpoint with a changed address is treated as new.
func (r *Registry) Apply(snapshot *config.Snapshot) {
	r.mu.Lock()
	records := snapshot.Records().Endpoints
	next := make(map[string]*entry, len(records))
	byHash := make(map[uint64]*entry, len(records))
	byService := make(map[string][]*entry)
	localCount := 0
	for i := range records {
		declared := &records[i]
		service := snapshot.Service(declared.Service)
		e := r.entryFor(declared, service != nil && service.Type == config.PlainService)
		next[declared.Name] = e
		byHash[e.hash] = e
		if declared.DataCentre == r.options.DataCentre {
			localCount++
		}
		byService[declared.Service] = append(byService[declared.Service], e)
	}
	for name, old := range r.entries {
		if next[name] != old && old.stop != nil {
			old.stop()
		}
	}
	for _, list := range byService {
		sort.Slice(list, func(i, j int) bool { return list[i].declared.Name < list[j].declared.Name })
	}
	r.entries = next
	r.byHash = byHash
	r.localCount = localCount
	r.byService = byService
	r.rebuildArtifactIndex()
	for _, e := range next {
		r.startPoller(e)
	}
	r.mu.Unlock()
	r.onChange()
}

func (r *Registry) entryFor(declared *config.Endpoint, plain bool) *entry {
	old := r.entries[declared.Name]
	if old != nil && old.declared.URL == declared.URL && old.plain == plain {
		old.declared = declared
		return old
	}
	return &entry{declared: declared, hash: HashName(declared.Name), plain: plain, knownSince: time.Now()}
}

// SetLeaving replaces the set of endpoints that the instance list marks as leaving.
func (r *Registry) SetLeaving(names []string) {
	leaving := make(map[string]bool, len(names))
	for _, name := range names {
		leaving[name] = true
	}
	r.mu.Lock()
	r.leaving = leaving
	r.mu.Unlock()
	r.onChange()
}

// States returns the states of all endpoints of a service, ordered by name.
func (r *Registry) States(service string) []State {
	return r.AppendStates(nil, service)
}

// AppendStates appends the states of all endpoints of a service to dst. A caller can reuse the memory of dst.
func (r *Registry) AppendStates(dst []State, service string) []State {
	now := time.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	stale := r.peersStale(now)
	for _, e := range r.byService[service] {
		dst = append(dst, r.state(e, now, stale))
	}
	return dst
}

// AppendServing appends the states of the endpoints that have loaded the artifact according to their last report.
func (r *Registry) AppendServing(dst []State, service string, kind engine.ArtifactKind, name string) []State {
	now := time.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	stale := r.peersStale(now)
	for _, e := range r.byArtifact[artifactKey{service: service, kind: kind, name: name}] {
		dst = append(dst, r.state(e, now, stale))
	}
	return dst
}

func (r *Registry) state(e *entry, now time.Time, stale bool) State {
	s := State{
		Endpoint:            e.declared,
		Report:              e.report,
		OwnInFlight:         e.ownInFlight,
		PeerInFlight:        r.peerInFlight[e.hash],
		OwnInFlightAtReport: e.ownInFlightAtReport,
		PeersStale:          stale,
		CallsFromReports:    r.sharesReports(),
		Instances:           len(r.peers) + 1,
		ConcurrencyLimit:    e.limiter.limit(e.maxCalls()),
		Health:              e.outlier.health(now),
		Leaving:             e.declared.Leaving || r.leaving[e.declared.Name],

		BetweenTokens:          e.betweenTokens.duration(),
		CallDuration:           e.duration.duration(),
		PrefillTokensPerSecond: e.peakPrefillRate,
		PrefillBacklog:         max(0, min(e.prefillDoneAt.Sub(now), e.pendingPrefill)),
	}
	if e.report != nil {
		s.ReportAge = now.Sub(e.reportedAt)
		s.Leaving = s.Leaving || e.report.Leaving
	}
	return s
}

// maxCalls returns the largest number of concurrent calls: the declared limit, or the reported batch limit if it is
// lower.
func (e *entry) maxCalls() int {
	limit := e.declared.MaxConcurrentRequests
	if e.report != nil && e.report.MaxRunning > 0 {
		limit = min(limit, e.report.MaxRunning)
	}
	return limit
}
