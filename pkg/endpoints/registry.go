package endpoints

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
)

const (
	// defaultReportInterval and defaultReportTimeout let two failed polls be seen within the 3 s in which a leaving
	// endpoint must stop receiving calls.
	defaultReportInterval = 500 * time.Millisecond
	defaultReportTimeout  = 700 * time.Millisecond
	// defaultStaleAfter is three exchange intervals of 1 s: a single lost exchange is not yet a partition.
	defaultStaleAfter = 3 * time.Second
	// defaultPollsPerSecond bounds the polls of one instance, so that their traffic does not grow with the fleet.
	defaultPollsPerSecond = 20
)

// Options are the registry's parameters; zero values select the defaults.
type Options struct {
	// ReportInterval is the time between two polls of an endpoint in use; others are polled less often when the fleet is
	// so large that PollsPerSecond would be exceeded.
	ReportInterval time.Duration
	ReportTimeout  time.Duration
	PollsPerSecond float64
	// StaleAfter is the silence of a peer after which its in-flight counts are no longer relied on.
	StaleAfter time.Duration
	// Instance and DataCentre name this instance. Without a data centre it polls all endpoints itself.
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

// Load is an instance's number of calls at one endpoint.
type Load struct {
	EndpointHash uint64
	InFlight     int
}

// HashName returns the hash under which peers name an endpoint.
func HashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Registry holds the known state of all declared endpoints. It is safe for concurrent use.
type Registry struct {
	reporter engine.Reporter
	loads    LoadReader
	log      *zap.Logger
	options  Options

	mu        sync.RWMutex
	pollers   conc.WaitGroup
	ctx       context.Context // nil while Run is not active
	entries   map[string]*entry
	byHash    map[uint64]*entry
	byService map[string][]*entry
	serving   map[artifactKey][]*entry
	peers     map[string]*peer
	peerSums  map[uint64]int
	listed    map[string]bool
	// inUse counts endpoints with own calls, local those of the own data centre.
	inUse int
	local int
	// self is the hash of this instance; candidates are the other live instances of its data centre.
	self       uint64
	candidates []candidate

	changed func()
	events  EventSink // nil when cache events are not read
}

// EventSink receives the cache events of engines.
type EventSink interface {
	// After returns the sequence number after which events of this incarnation are wanted.
	After(endpoint, incarnation string) int64
	// Apply takes events over in the order in which they were read.
	Apply(endpoint, incarnation string, events []engine.CacheEvent)
}

// artifactKey names what endpoints of a service have loaded.
type artifactKey struct {
	service string
	kind    engine.ArtifactKind
	name    string
}

type peer struct {
	heard    time.Time
	inFlight map[uint64]int
	// failed has the endpoints of which the peer gets no reports.
	failed map[uint64]bool
}

type entry struct {
	declared *config.Endpoint
	hash     uint64
	plain    bool
	stop     context.CancelFunc // nil while no poller runs

	// since is when the endpoint became known.
	since      time.Time
	report     *engine.Report
	reportedAt time.Time
	// ownReport is true when the report is of an own poll; triedAt is the time of the last own poll.
	ownReport bool
	triedAt   time.Time
	// polling is true while the sweeper polls the endpoint; polledAt is when its last poll ended.
	polling     bool
	polledAt    time.Time
	ownAtReport int
	own         int
	used        bool // true once a call was sent; such endpoints are part of Local

	outlier       outlier
	limiter       limiter
	betweenTokens average
	duration      average
	peakPrefill   float64
	// prefillFree is when the prompts of own calls will have been processed; pendingPrefill is the sum of the prefill times
	// of own calls without a first token, which bounds the error of a wrong rate.
	prefillFree    time.Time
	pendingPrefill time.Duration
}

// NewRegistry returns an empty registry.
func NewRegistry(reporter engine.Reporter, loads LoadReader, log *zap.Logger, options Options) *Registry {
	return &Registry{
		reporter:  reporter,
		loads:     loads,
		log:       log,
		options:   options.withDefaults(),
		self:      xxhash.Sum64String(options.Instance),
		entries:   make(map[string]*entry),
		byHash:    make(map[uint64]*entry),
		byService: make(map[string][]*entry),
		serving:   make(map[artifactKey][]*entry),
		peers:     make(map[string]*peer),
		peerSums:  make(map[uint64]int),
		listed:    make(map[string]bool),
		changed:   func() {},
	}
}

// OnChange sets the function that is called, without locks held, after a change that can free capacity. It must be set
// before Run and Apply.
func (r *Registry) OnChange(changed func()) {
	r.changed = changed
}

// ReadEvents sets the receiver of cache events. It must be set before Run.
func (r *Registry) ReadEvents(sink EventSink) {
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

// Apply takes over the endpoints of a snapshot: new ones are polled, removed ones are forgotten, and one whose address
// changed is treated as new.
func (r *Registry) Apply(snapshot *config.Snapshot) {
	r.mu.Lock()
	records := snapshot.Records().Endpoints
	next := make(map[string]*entry, len(records))
	byHash := make(map[uint64]*entry, len(records))
	byService := make(map[string][]*entry)
	local := 0
	for i := range records {
		declared := &records[i]
		service := snapshot.Service(declared.Service)
		e := r.entryFor(declared, service != nil && service.Type == config.PlainService)
		next[declared.Name] = e
		byHash[e.hash] = e
		if declared.DataCentre == r.options.DataCentre {
			local++
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
	r.local = local
	r.byService = byService
	r.indexServing()
	for _, e := range next {
		r.startPoller(e)
	}
	r.mu.Unlock()
	r.changed()
}

func (r *Registry) entryFor(declared *config.Endpoint, plain bool) *entry {
	old := r.entries[declared.Name]
	if old != nil && old.declared.URL == declared.URL && old.plain == plain {
		old.declared = declared
		return old
	}
	return &entry{declared: declared, hash: HashName(declared.Name), plain: plain, since: time.Now()}
}

// SetLeaving replaces the set of endpoints that the instance list names as leaving.
func (r *Registry) SetLeaving(names []string) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	r.mu.Lock()
	r.listed = listed
	r.mu.Unlock()
	r.changed()
}

// Instances returns the number of known entry instances, this one included.
func (r *Registry) Instances() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.peers) + 1
}

// Local returns this instance's in-flight counts, with zeros for endpoints that it used before, so that a receiver that
// merges sees calls end. In a fleet that shares reports it is empty: there the reports of the pollers carry the sum over all
// instances, since the counts of each instance at each endpoint would be the largest part of the exchange.
func (r *Registry) Local() []Load {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.shares() {
		return nil
	}
	var loads []Load
	for _, e := range r.entries {
		if e.used {
			loads = append(loads, Load{EndpointHash: e.hash, InFlight: e.own})
		}
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].EndpointHash < loads[j].EndpointHash })
	return loads
}

// SetPeer merges a peer's counts; endpoints that are not named keep their last count. An empty slice tells that the peer
// is alive. A restarted peer must come under a new id.
func (r *Registry) SetPeer(peerID string, loads []Load) {
	r.mu.Lock()
	p := r.peer(peerID)
	p.heard = time.Now()
	for _, load := range loads {
		r.addPeerSum(load.EndpointHash, load.InFlight-p.inFlight[load.EndpointHash])
		if load.InFlight == 0 {
			delete(p.inFlight, load.EndpointHash)
			continue
		}
		p.inFlight[load.EndpointHash] = load.InFlight
	}
	r.mu.Unlock()
	r.changed()
}

func (r *Registry) peer(id string) *peer {
	p := r.peers[id]
	if p == nil {
		p = &peer{heard: time.Now(), inFlight: make(map[uint64]int)}
		r.peers[id] = p
	}
	return p
}

// RemovePeer forgets a peer.
func (r *Registry) RemovePeer(peerID string) {
	r.mu.Lock()
	if p := r.peers[peerID]; p != nil {
		for hash, count := range p.inFlight {
			r.addPeerSum(hash, -count)
		}
		delete(r.peers, peerID)
	}
	r.mu.Unlock()
	r.changed()
}

func (r *Registry) addPeerSum(hash uint64, delta int) {
	r.peerSums[hash] += delta
	if r.peerSums[hash] == 0 {
		delete(r.peerSums, hash)
	}
}

func (r *Registry) peersStale(now time.Time) bool {
	for _, p := range r.peers {
		if now.Sub(p.heard) > r.options.StaleAfter {
			return true
		}
	}
	return false
}

// States returns the state of every endpoint of a service, ordered by name.
func (r *Registry) States(service string) []State {
	return r.AppendStates(nil, service)
}

// AppendStates appends the states of a service's endpoints to dst, so that a caller can reuse its memory.
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

// AppendServing appends the states of the endpoints that have the artifact loaded according to their last report.
func (r *Registry) AppendServing(dst []State, service string, kind engine.ArtifactKind, name string) []State {
	now := time.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	stale := r.peersStale(now)
	for _, e := range r.serving[artifactKey{service: service, kind: kind, name: name}] {
		dst = append(dst, r.state(e, now, stale))
	}
	return dst
}

// ServesID tells whether an endpoint belongs to the service and, unless the id is empty, has a model or adapter of that id
// loaded.
func (r *Registry) ServesID(endpoint, service, id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	e := r.entries[endpoint]
	if e == nil || e.declared.Service != service {
		return false
	}
	if id == "" {
		return true
	}
	return e.report != nil && slices.ContainsFunc(e.report.Artifacts, func(a engine.LoadedArtifact) bool {
		return a.Name == id && a.State == engine.StateLoaded
	})
}

// indexServing rebuilds the index of loaded artifacts.
func (r *Registry) indexServing() {
	clear(r.serving)
	for _, list := range r.byService {
		for _, e := range list {
			r.addServing(e)
		}
	}
}

func (r *Registry) addServing(e *entry) {
	for _, key := range e.loadedKeys() {
		list := r.serving[key]
		at, _ := slices.BinarySearchFunc(list, e.declared.Name, func(other *entry, name string) int {
			return strings.Compare(other.declared.Name, name)
		})
		r.serving[key] = slices.Insert(list, at, e)
	}
}

func (r *Registry) dropServing(e *entry) {
	for _, key := range e.loadedKeys() {
		list := slices.DeleteFunc(r.serving[key], func(other *entry) bool { return other == e })
		if len(list) == 0 {
			delete(r.serving, key)
			continue
		}
		r.serving[key] = list
	}
}

// loadedKeys lists each loaded artifact once, in whatever number of versions it is loaded.
func (e *entry) loadedKeys() []artifactKey {
	if e.report == nil {
		return nil
	}
	var keys []artifactKey
	for _, a := range e.report.Artifacts {
		key := artifactKey{service: e.declared.Service, kind: a.Kind, name: a.Name}
		if a.State == engine.StateLoaded && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (r *Registry) state(e *entry, now time.Time, stale bool) State {
	s := State{
		Endpoint:         e.declared,
		Report:           e.report,
		OwnInFlight:      e.own,
		PeerInFlight:     r.peerSums[e.hash],
		OwnAtReport:      e.ownAtReport,
		PeersStale:       stale,
		CallsFromReports: r.shares(),
		Instances:        len(r.peers) + 1,
		ConcurrencyLimit: e.limiter.limit(e.cap()),
		Health:           e.outlier.health(now),
		Leaving:          e.declared.Leaving || r.listed[e.declared.Name],

		BetweenTokens:          e.betweenTokens.duration(),
		CallDuration:           e.duration.duration(),
		PrefillTokensPerSecond: e.peakPrefill,
		PrefillBacklog:         max(0, min(e.prefillFree.Sub(now), e.pendingPrefill)),
	}
	if e.report != nil {
		s.ReportAge = now.Sub(e.reportedAt)
		s.Leaving = s.Leaving || e.report.Leaving
	}
	return s
}

// cap is the most calls that the endpoint may run: the declared limit, or the reported batch limit when it is lower.
func (e *entry) cap() int {
	limit := e.declared.MaxConcurrentRequests
	if e.report != nil && e.report.MaxRunning > 0 {
		limit = min(limit, e.report.MaxRunning)
	}
	return limit
}
