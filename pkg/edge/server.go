// Package edge implements the entry instance on the users' platform: it accepts client connections, chooses endpoints,
// forwards requests and takes part in placing models. The adapter behind HeaderCodec and EntryDecoder translates the
// names of the platform.
package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/clientconn"
	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fairqueue"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/lease"
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
	"github.com/mulberryglade/mulberryglade/pkg/quarantine"
	"github.com/mulberryglade/mulberryglade/pkg/residency"
	"github.com/mulberryglade/mulberryglade/pkg/retry"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
	"github.com/mulberryglade/mulberryglade/pkg/tcpopt"
)

// Dependencies are the dependencies of a Server. New creates Fleet and Budget if they are nil.
type Dependencies struct {
	HeaderCodec  HeaderCodec
	EntryDecoder EntryDecoder
	Store        kvstore.Store
	Engines      residency.Engines
	// Pool sends requests to endpoints.
	Pool   *httpconn.Pool
	Fleet  *fleet.Registry
	Budget *retry.WindowBudget
	// ExchangeConn exchanges datagrams with other instances; nil opens a socket at Settings.ExchangeAddress.
	ExchangeConn net.PacketConn
	// Scope receives the metrics and Metrics serves them; nil disables either.
	Scope   tally.Scope
	Metrics http.Handler
}

// Server is one entry instance.
type Server struct {
	deps            Dependencies
	log             *zap.Logger
	currentSettings atomic.Pointer[Settings]
	table           atomic.Pointer[routing.Table]
	// configEntry is the store entry that table was created from.
	configEntry atomic.Pointer[configEntry]
	// configChanged signals that another configuration is in force.
	configChanged broadcast
	// configuredAt is when the first configuration came into force; nil before that.
	configuredAt atomic.Pointer[time.Time]
	metrics      *metrics
	conns        *clientconn.Group[*clientconn.Conn]
	clientLimits *clientLimits
	// endpointBytes counts the bytes of bodies that endpoints hold for this instance.
	endpointBytes *membudget.Keyed
	instances     *instanceRegistry
	// registering is set once this process has begun to register the instance. An entry read before is that of a previous
	// process.
	registering atomic.Bool
	demand      *demandTracker
	exchange    *exchange.Exchange
	lease       *lease.Holder
	// placement sends placement orders while this instance holds the lease.
	placement *residency.Controller
	draining  atomic.Bool
	// drainStarted is closed when a stopping instance begins to drain, after drainDeadline is set, at which the requests
	// in flight are cut off.
	drainStarted  chan struct{}
	drainDeadline atomic.Pointer[time.Time]
	// viewMu makes a change of the endpoints atomic with the change of the revision up to which they are known.
	viewMu    sync.Mutex
	storeView storeView
	changeLog *storeChangeLog
	// fairQueues is used only while the configuration has workspaces.
	fairQueues *fairqueue.Scheduler
	// queueWatchers wake the requests in fairQueues. They end with the last request that waits.
	queueWatchers conc.WaitGroup
	// quarantine holds the prompt parts that crash endpoints.
	quarantine *quarantine.Tracker
	quota      *quotaService
	origins    *streamOrigins
	// watchRequested requests an immediate watch from the store watcher.
	watchRequested chan struct{}
	// registrationRequested requests an immediate renewal of the registration.
	registrationRequested chan struct{}
	// stalePeers tracks the instances that cannot read the store.
	stalePeers stalePeers
	// refusing is closed once a stopping instance refuses new requests.
	refusing chan struct{}

	mu     sync.Mutex
	random *rand.Rand
	// controlListeners runs the listeners for readiness checks and metrics.
	controlListeners conc.WaitGroup
	// activeRequests counts requests that are being handled.
	activeRequests atomic.Int64
}

// New returns a server. It opens the exchange socket; all other work begins with Run.
func New(s Settings, deps Dependencies, log *zap.Logger) (*Server, error) {
	if deps.Fleet == nil {
		deps.Fleet = fleet.NewRegistry()
	}
	server := &Server{
		deps:           deps,
		log:            log,
		metrics:        newMetrics(deps.Scope),
		changeLog:      newStoreChangeLog(),
		fairQueues:     fairqueue.NewScheduler(),
		quarantine:     quarantine.NewTracker(),
		watchRequested: make(chan struct{}, 1),
		instances:      newInstanceRegistry(),
		demand:         newDemandTracker(s.Region),
		conns:          clientconn.NewGroup[*clientconn.Conn](),
		clientLimits:   newClientLimits(deps.Scope, log),
		endpointBytes:  membudget.NewKeyed(cmp.Or(s.EndpointBodyMB, defaultEndpointBodyMB) << 20),
		drainStarted:   make(chan struct{}),
		refusing:       make(chan struct{}),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),

		registrationRequested: make(chan struct{}, 1),
	}
	server.currentSettings.Store(&s)
	if deps.Budget == nil {
		server.deps.Budget = retry.NewWindowBudget(server.retryLimits)
	}
	server.lease = lease.New(lease.Options{
		Store:    deps.Store,
		Key:      placementKey,
		Identity: s.InstanceID,
		TTL:      s.Bounds.placementLease() / placementLeaseDivisor,
		// The store watch reports when the key is free, so that waiting instances make no calls.
		Eligible: func() bool {
			configuredAt := server.configuredAt.Load()
			return configuredAt != nil && server.instances.mayPlaceModels(s.InstanceID, s.Bounds.watchInterval(), *configuredAt, time.Now())
		},
		Log: log,
	})
	server.placement = server.newController()
	server.quota = newQuotaService(server, deps.Scope)
	server.origins = newStreamOrigins(server, deps.Store)
	var err error
	server.exchange, err = exchange.Listen(exchange.Options{
		Instance: s.InstanceID,
		Address:  s.ExchangeAddress,
		Conn:     deps.ExchangeConn,
		Peers: func() []exchange.Peer {
			current := server.settings()
			return server.instances.peers(current.InstanceID, current.Regions, current.Region)
		},
		Holder:       server.instances.currentHolder,
		NeedsUpdates: server.relaysTo,
		Compose:      server.compose,
		Receive:      server.receive,
		Sent:         server.metrics.exchangeBytes.recordSent,
		Log:          log,
	})
	return server, err
}

// placementLeaseDivisor divides PlacementLeaseMs, the time in which only one instance may give orders. The quotient is
// the TTL of the lease, after which a holder that is cut off has lost it. A new holder then pauses for the whole of
// PlacementLeaseMs (residency.Options.HandoverPause).
const placementLeaseDivisor = 2

func (s *Server) settings() *Settings {
	return s.currentSettings.Load()
}

// Reload applies settings that may change while the process runs. Changed addresses take effect at the next start.
func (s *Server) Reload(settings Settings) {
	s.currentSettings.Store(&settings)
	s.log.Info("settings reloaded")
}

func (s *Server) limits() routing.ClientLimits {
	table := s.table.Load()
	if table == nil {
		return defaultClientLimits
	}
	limits := table.Config.Limits
	if limits.MaxHeaderBytes <= 0 {
		limits.MaxHeaderBytes = defaultClientLimits.MaxHeaderBytes
	}
	if limits.MaxBodyBytes <= 0 {
		limits.MaxBodyBytes = defaultClientLimits.MaxBodyBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultClientLimits.HeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultClientLimits.IdleTimeout
	}
	return limits
}

func (s *Server) retryLimits() retry.WindowLimits {
	bounds := s.settings().Bounds
	return retry.WindowLimits{
		Window:    time.Duration(bounds.RetryWindowSeconds * float64(time.Second)),
		Ratio:     bounds.RetryRatio,
		Slack:     bounds.RetrySlack,
		Instances: s.instances.count(time.Now()),
	}
}

// applyConfigEntry applies a configuration entry from the store, or from the relay named by from.
func (s *Server) applyConfigEntry(value []byte, revision int64, from string, now time.Time) {
	config, err := s.deps.EntryDecoder.Config(value)
	if err != nil {
		s.log.Error("configuration cannot be decoded; the one in force stays", zap.Error(err), zap.String("from", from))
		return
	}
	if s.applyConfig(config, revision, from) {
		s.configEntry.Store(&configEntry{version: config.Version, value: value, inForceSince: now})
		s.configuredAt.CompareAndSwap(nil, &now)
	}
}

// applyConfig puts a configuration in force and returns true, unless the same or a newer version is in force.
func (s *Server) applyConfig(config *routing.Config, revision int64, from string) bool {
	current := s.table.Load()
	if current != nil && config.Version <= current.Config.Version {
		return false
	}
	s.table.Store(routing.NewTable(config))
	s.metrics.configVersion.Update(float64(config.Version))
	s.metrics.access.recordConfig(config)
	s.configChanged.signal()
	s.origins.requestCheck()
	s.log.Info("configuration in force", zap.Int64("version", config.Version), zap.Int64("revision", revision),
		zap.String("from", from), zap.Int("routes", len(config.Routes)), zap.Int("services", len(config.Services)),
		zap.Int("workspaces", len(config.Workspaces)))
	logFindings(s.log, config)
	return true
}

func (s *Server) chooseService(table *routing.Table, route *routing.Route) *routing.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return table.ChooseService(route, s.random)
}

// The distances to other data centres. Latencies are round-trip times. The penalty for leaving the data centre is
// small. The penalty for using the link between regions is larger because of its price and its low bandwidth.
var (
	sameRegionDistance  = fleet.Distance{Latency: time.Millisecond, Penalty: 0.04}
	otherRegionDistance = fleet.Distance{Latency: 40 * time.Millisecond, Penalty: 0.25}
)

func (s *Server) distance(dataCentre string) fleet.Distance {
	settings := s.settings()
	switch {
	case dataCentre == settings.DataCentre:
		return fleet.Distance{}
	case settings.Regions[dataCentre] == settings.Region:
		return sameRegionDistance
	default:
		return otherRegionDistance
	}
}

// maxInstancesWithoutSpread is the number of instances above which their views of each other are too old to agree on
// the least busy endpoint, so that choices are spread. maxSpreadPrompts bounds the spread in units of the prefill time
// of a prompt.
const (
	maxInstancesWithoutSpread = 10
	maxSpreadPrompts          = 3.0
)

// spread returns the upper bound of the random amount added to an endpoint's cost: the prefill time of as many prompts
// of this size as other instances may have sent there since their last messages.
func (s *Server) spread(service string, promptTokens int) time.Duration {
	ratio := float64(s.instances.count(time.Now())) / maxInstancesWithoutSpread
	if ratio <= 1 {
		return 0
	}
	prefillTime := float64(promptTokens) / s.deps.Fleet.ServiceSpeed(service, time.Now()).PrefillPerMs * float64(time.Millisecond)
	return time.Duration(min(ratio, maxSpreadPrompts) * prefillTime)
}

const (
	// maxAdapterWait is the maximum time that a request waits for an adapter that is being loaded.
	maxAdapterWait = 300 * time.Millisecond
	// placementDelay is the expected time from the first request for a model to the order that loads it.
	placementDelay = 500 * time.Millisecond
)

// expectedWait returns the expected time until an obstacle is removed; zero means that waiting does not help.
func (s *Server) expectedWait(service *routing.Service, demand *fleet.Demand, obstacle fleet.Obstacle) time.Duration {
	switch obstacle {
	case fleet.AdapterNotHeld:
		return maxAdapterWait
	case fleet.NotHeld:
		if ready, loading := s.deps.Fleet.ReadyIn(demand.Model, time.Now()); loading {
			return ready
		}
		if service.Engine != nil && service.Engine.Models[demand.Model] != nil {
			return service.Engine.Models[demand.Model].FromStore + placementDelay
		}
	}
	return 0
}

// idleConnectionShare is the fraction of an endpoint's accepted connections that all instances together may keep idle.
const idleConnectionShare = 0.5

// limitIdleConnections sets this instance's share of the idle connections that all instances together may keep to an
// endpoint.
func (s *Server) limitIdleConnections() {
	table := s.table.Load()
	if table == nil {
		return
	}
	limit := maxIdleConnections
	for _, service := range table.Config.Services {
		if service.MaxConnections > 0 {
			limit = min(limit, int(float64(service.MaxConnections)*idleConnectionShare)/s.instances.count(time.Now()))
		}
	}
	s.deps.Pool.LimitIdle(limit)
	s.deps.Pool.LimitIdleTotal(clientconn.IdleConnectionLimit(clientconn.DescriptorLimit(s.settings().MaxFDs)))
}

// maxIdleConnections bounds the idle connections to an endpoint.
const maxIdleConnections = 32

// ready reports whether the load balancer should send new connections to this instance.
func (s *Server) ready() bool {
	return !s.draining.Load() && s.table.Load() != nil && s.deps.Fleet.Usable() > 0
}

// Run serves until the context ends and then drains.
func (s *Server) Run(ctx context.Context) error {
	settings := s.settings()
	clients, err := tcpopt.Listen(settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	readyServer, err := s.listenReady(settings.ReadyAddress)
	if err != nil {
		return err
	}
	metricsServer, err := s.listenMetrics(settings.MetricsAddress)
	if err != nil {
		return err
	}
	s.log.Info("started", zap.String("instance", settings.InstanceID), zap.String("dataCentre", settings.DataCentre),
		zap.String("clients", settings.CallerAddress), zap.String("store", settings.StoreAddress))
	s.deps.Pool.LimitIdleTotal(clientconn.IdleConnectionLimit(clientconn.DescriptorLimit(settings.MaxFDs)))
	background, stopBackground := context.WithCancel(context.Background())
	serving, stopServing := context.WithCancelCause(context.Background())
	var tasks conc.WaitGroup
	watcher := &storeWatcher{server: s, store: s.deps.Store}
	tasks.Go(func() { watcher.run(background) })
	registration := &registrar{server: s, store: s.deps.Store}
	// The registration, the lease and placement end as soon as the stop is requested, so that another instance can
	// place models early.
	tasks.Go(func() { registration.run(ctx) })
	tasks.Go(func() { _ = s.lease.Run(ctx) })
	tasks.Go(func() { s.placement.Run(ctx) })
	tasks.Go(func() { s.exchange.Run(background) })
	tasks.Go(func() { s.quota.run(background) })
	originWriter := newOriginWriter(s)
	tasks.Go(func() { originWriter.run(background) })
	tasks.Go(func() { s.accept(serving, clients) })
	tasks.Go(func() { s.reportClients(background) })
	<-ctx.Done()
	s.drain(stopServing)
	if err := clients.Close(); err != nil {
		s.log.Debug("failed to close the client listener", zap.Error(err))
	}
	stopBackground()
	s.shutdownListener(readyServer)
	s.shutdownListener(metricsServer)
	tasks.Wait()
	s.controlListeners.Wait()
	s.queueWatchers.Wait()
	s.origins.reads.Wait()
	s.log.Info("stopped")
	return nil
}
