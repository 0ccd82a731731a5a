// Package edge is the entry instance on the users' platform: it accepts clients, chooses endpoints, forwards requests and
// takes part in placing models. The platform's names are translated by the adapter behind Wire and Entries.
package edge

import (
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

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/lease"
	"github.com/mulberryglade/mulberryglade/pkg/residency"
	"github.com/mulberryglade/mulberryglade/pkg/retry"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// Parts are what a Server is built from. Fleet and Budget are made by New when they are nil.
type Parts struct {
	Wire    Wire
	Entries Entries
	Store   kvstore.Store
	Engines residency.Engines
	// Pool sends requests to endpoints.
	Pool   *httpconn.Pool
	Fleet  *fleet.Registry
	Budget *retry.WindowBudget
	// Scope receives the metrics and Metrics serves them; nil means that there are none.
	Scope   tally.Scope
	Metrics http.Handler
}

// Server is one entry instance.
type Server struct {
	parts  Parts
	log    *zap.Logger
	config atomic.Pointer[Settings]
	table  atomic.Pointer[routing.Table]
	// configEntry is what the table was made from.
	configEntry atomic.Pointer[configEntry]
	// configured is when the first configuration came into force; nil before.
	configured atomic.Pointer[time.Time]
	metrics    *metrics
	members    *members
	demand     *demandBook
	exchange   *exchange.Exchange
	lease      *lease.Holder
	// placement gives orders while this instance holds the lease.
	placement *residency.Controller
	draining  atomic.Bool
	// viewMu makes a change of endpoints and the revision that is known with it one step.
	viewMu    sync.Mutex
	storeView storeView
	news      *relayNews
	paces     *paceBook
	// watchNow asks the follower for a watch at once.
	watchNow chan struct{}
	// stalePeers are the instances that cannot read the store.
	stalePeers stalePeers
	// refusing is closed once a stopping instance no longer begins requests.
	refusing chan struct{}

	mu     sync.Mutex
	conns  map[*clientConn]struct{}
	random *rand.Rand
	// control runs the listeners for readiness checks and metrics.
	control conc.WaitGroup
	// active counts requests that are being handled.
	active atomic.Int64
}

// New returns a server that does nothing until Run.
func New(s Settings, parts Parts, log *zap.Logger) (*Server, error) {
	if parts.Fleet == nil {
		parts.Fleet = fleet.NewRegistry()
	}
	server := &Server{
		parts:    parts,
		log:      log,
		metrics:  newMetrics(parts.Scope),
		news:     newRelayNews(),
		paces:    newPaceBook(),
		watchNow: make(chan struct{}, 1),
		members:  newMembers(),
		demand:   newDemandBook(s.Region),
		conns:    make(map[*clientConn]struct{}),
		refusing: make(chan struct{}),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	server.config.Store(&s)
	if parts.Budget == nil {
		server.parts.Budget = retry.NewWindowBudget(server.retryLimits)
	}
	server.lease = lease.New(lease.Options{
		Store:    parts.Store,
		Key:      placementKey,
		Identity: s.InstanceID,
		TTL:      s.Bounds.placementLease() / placementRenewalShare,
		// The watch tells when the key is free, so that waiting instances make no calls.
		Eligible: func() bool {
			configured := server.configured.Load()
			return configured != nil && server.members.mayPlace(s.InstanceID, s.Bounds.watchPause(), *configured, time.Now())
		},
		Log: log,
	})
	server.placement = server.controller()
	var err error
	server.exchange, err = exchange.Listen(exchange.Options{
		Instance: s.InstanceID,
		Address:  s.ExchangeAddress,
		Peers: func() []exchange.Peer {
			now := server.settings()
			return server.members.peers(now.InstanceID, now.Regions, now.Region)
		},
		Holder:        server.members.currentHolder,
		SendUpdatesTo: server.relaysTo,
		Compose:       server.compose,
		Receive:       server.receive,
		Log:           log,
	})
	return server, err
}

// placementRenewalShare divides the time in which only one instance may give orders into the lease, after which a holder
// that was cut off counts as gone, and the pause of its successor.
const placementRenewalShare = 2

func (s *Server) settings() *Settings {
	return s.config.Load()
}

// Reload takes over settings that may change while the process runs. Addresses take effect at the next start.
func (s *Server) Reload(settings Settings) {
	s.config.Store(&settings)
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
		Instances: s.members.count(time.Now()),
	}
}

// takeConfig takes over an entry of the configuration from the store, or from a relay that is named.
func (s *Server) takeConfig(value []byte, revision int64, from string, now time.Time) {
	config, err := s.parts.Entries.Config(value)
	if err != nil {
		s.log.Error("configuration not readable; the one in force stays", zap.Error(err), zap.String("from", from))
		return
	}
	if s.applyConfig(config, revision, from) {
		s.configEntry.Store(&configEntry{version: config.Version, value: value, since: now})
		s.configured.CompareAndSwap(nil, &now)
	}
}

// applyConfig puts a configuration in force unless a newer one is.
func (s *Server) applyConfig(config *routing.Config, revision int64, from string) bool {
	current := s.table.Load()
	if current != nil && config.Version <= current.Config.Version {
		return false
	}
	s.table.Store(routing.NewTable(config))
	s.metrics.configVersion.Update(float64(config.Version))
	s.log.Info("configuration in force", zap.Int64("version", config.Version), zap.Int64("revision", revision),
		zap.String("from", from), zap.Int("routes", len(config.Routes)), zap.Int("services", len(config.Services)))
	return true
}

func (s *Server) chooseService(table *routing.Table, route *routing.Route) *routing.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return table.ChooseService(route, s.random)
}

// The distances to other data centres. Latencies are round trips; the reluctance to leave the data centre is small, that
// to use the link between regions larger, because of its price and its narrow width.
var (
	sameRegion  = fleet.Distance{Latency: time.Millisecond, Reluctance: 0.04}
	otherRegion = fleet.Distance{Latency: 40 * time.Millisecond, Reluctance: 0.25}
)

func (s *Server) distance(dataCentre string) fleet.Distance {
	settings := s.settings()
	switch {
	case dataCentre == settings.DataCentre:
		return fleet.Distance{}
	case settings.Regions[dataCentre] == settings.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// spreadInstances is the number of instances from which on their views of each other are too old to agree on the least busy
// endpoint, and maxSpread bounds the spread in prompts.
const (
	spreadInstances = 10
	maxSpread       = 3.0
)

// spread returns the random part of the cost of an endpoint: the reading time of as many prompts of this size as other
// instances may have sent there since they were heard.
func (s *Server) spread(service string, promptTokens int) time.Duration {
	others := float64(s.members.count(time.Now())) / spreadInstances
	if others <= 1 {
		return 0
	}
	reading := float64(promptTokens) / s.paces.of(service).PrefillPerMs * float64(time.Millisecond)
	return time.Duration(min(others, maxSpread) * reading)
}

const (
	// adapterWait is how long a request waits at most for an adapter that is being loaded.
	adapterWait = 300 * time.Millisecond
	// placementDelay is the time from the first request for a model to the order that loads it.
	placementDelay = 500 * time.Millisecond
)

// await returns how long it takes until an obstacle is likely gone; zero means that waiting does not help.
func (s *Server) await(service *routing.Service, demand *fleet.Demand, obstacle fleet.Obstacle) time.Duration {
	switch obstacle {
	case fleet.AdapterNotHeld:
		return adapterWait
	case fleet.NotHeld:
		if ready, loading := s.parts.Fleet.ReadyIn(demand.Model, time.Now()); loading {
			return ready
		}
		if service.Engine != nil && service.Engine.Models[demand.Model] != nil {
			return service.Engine.Models[demand.Model].FromStore + placementDelay
		}
	}
	return 0
}

// idleShare is the part of the connections which an endpoint accepts that all instances together may keep unused.
const idleShare = 0.5

// limitIdleConnections shares what endpoints accept among the instances.
func (s *Server) limitIdleConnections() {
	table := s.table.Load()
	if table == nil {
		return
	}
	least := maxIdleConnections
	for _, service := range table.Config.Services {
		if service.MaxConnections > 0 {
			least = min(least, int(float64(service.MaxConnections)*idleShare)/s.members.count(time.Now()))
		}
	}
	s.parts.Pool.LimitIdle(least)
}

// maxIdleConnections bounds the unused connections to an endpoint where nothing else does.
const maxIdleConnections = 32

// ready tells whether this instance should get new connections.
func (s *Server) ready() bool {
	return !s.draining.Load() && s.table.Load() != nil && s.parts.Fleet.Usable() > 0
}

// Run serves until the context ends and then drains.
func (s *Server) Run(ctx context.Context) error {
	settings := s.settings()
	clients, err := net.Listen("tcp", settings.CallerAddress)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	ready, err := s.listenReady(settings.ReadyAddress)
	if err != nil {
		return err
	}
	served, err := s.listenMetrics(settings.MetricsAddress)
	if err != nil {
		return err
	}
	s.log.Info("started", zap.String("instance", settings.InstanceID), zap.String("dataCentre", settings.DataCentre),
		zap.String("clients", settings.CallerAddress), zap.String("store", settings.StoreAddress))
	background, stopBackground := context.WithCancel(context.Background())
	serving, stopServing := context.WithCancelCause(context.Background())
	var tasks conc.WaitGroup
	follow := &follower{server: s, store: s.parts.Store}
	tasks.Go(func() { follow.run(background) })
	registered := &presence{server: s, store: s.parts.Store}
	// Placement is given up as soon as the stop is asked for, so that another instance takes over early.
	tasks.Go(func() { registered.run(ctx) })
	tasks.Go(func() { _ = s.lease.Run(ctx) })
	tasks.Go(func() { s.placement.Run(ctx) })
	tasks.Go(func() { s.exchange.Run(background) })
	tasks.Go(func() { s.accept(serving, clients) })
	<-ctx.Done()
	s.drain(stopServing)
	if err := clients.Close(); err != nil {
		s.log.Debug("close client listener", zap.Error(err))
	}
	stopBackground()
	s.shutdown(ready)
	s.shutdown(served)
	tasks.Wait()
	s.control.Wait()
	s.log.Info("stopped")
	return nil
}
