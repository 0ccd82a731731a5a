// Package daemon builds the components of an entry instance, runs them and shuts them down in order.
package daemon

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/admin"
	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
	"github.com/mulberryglade/mulberryglade/pkg/configsync"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/endpoints"
	"github.com/mulberryglade/mulberryglade/pkg/engine/openaihttp"
	"github.com/mulberryglade/mulberryglade/pkg/engine/plainhttp"
	"github.com/mulberryglade/mulberryglade/pkg/fairshare"
	"github.com/mulberryglade/mulberryglade/pkg/gateway"
	"github.com/mulberryglade/mulberryglade/pkg/httpconn"
	"github.com/mulberryglade/mulberryglade/pkg/instancelist"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore/etcdgateway"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
	"github.com/mulberryglade/mulberryglade/pkg/membudget"
	"github.com/mulberryglade/mulberryglade/pkg/peer"
	"github.com/mulberryglade/mulberryglade/pkg/placement"
	"github.com/mulberryglade/mulberryglade/pkg/retry"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
	"github.com/mulberryglade/mulberryglade/pkg/settings"
	"github.com/mulberryglade/mulberryglade/pkg/telemetry"
	"github.com/mulberryglade/mulberryglade/pkg/weightstore"
)

// Daemon is one entry instance.
type Daemon struct {
	settings  settings.Settings
	identity  peer.Identity
	log       *zap.Logger
	metrics   *telemetry.Metrics
	listeners listeners
	startedAt time.Time

	storeClient *etcdgateway.Client
	store       contactStore
	syncer      *configsync.Syncer

	registry   *endpoints.Registry
	tracker    *demand.Tracker
	accountant *fairshare.Accountant
	topology   *scheduling.SnapshotTopology
	linkBudget *scheduling.LinkBudget
	prefixes   *scheduling.PrefixIndex
	admission  *admission.Controller
	// applied is set once the first configuration is in effect in all of the above.
	applied  atomic.Bool
	recorder *decisions.Recorder

	// memory bounds what the instance holds for callers and endpoints.
	memory       *membudget.Budget
	engineClient *openaihttp.Client
	servicePool  *httpconn.Pool
	serviceLoads *plainhttp.Reporter
	retryBudget  *retry.Budget
	storeClaims  *claims.StoreClaimer
	issuer       *claims.Issuer

	peerNode   *peer.Node
	peerServer *http.Server

	ledger       *ledger.Ledger
	planner      placement.Planner
	modelPacer   *weightstore.Pacer
	adapterPacer *weightstore.Pacer
	shards       shardSet
	// planInterval, verifyInterval and leaseTTL are set by tests only; zero means the default of the package that uses
	// it.
	planInterval   time.Duration
	verifyInterval time.Duration
	leaseTTL       time.Duration

	// instanceListClient reads the instance list; nil when the settings name none.
	instanceListClient *instancelist.Client

	gateway *gateway.Server
	admin   *admin.Server

	// rates has the request rates for the operators' queries; each placement shard has its own rateMeter.
	rates rateWindow

	draining atomic.Bool
	// stop is closed by Stop.
	stop     chan struct{}
	stopOnce sync.Once
}

// listeners are the open ports of an instance.
type listeners struct {
	caller net.Listener
	peer   net.Listener
	admin  net.Listener
}

// Addresses are the addresses that an instance listens on, each an IP address with a port.
type Addresses struct {
	Caller string
	Peer   string
	Admin  string
}

// New opens the ports and builds all components; Run starts them. An error names the setting that cannot be used.
func New(s settings.Settings, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		settings:  s,
		log:       log.With(zap.String("instance", s.InstanceID)),
		metrics:   telemetry.NewMetrics(telemetry.ReportInterval),
		startedAt: time.Now(),
		stop:      make(chan struct{}),
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.identity = peer.Identity{
		InstanceID:  s.InstanceID,
		Incarnation: uuid.NewString(),
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		Address:     d.listeners.peer.Addr().String(),
	}
	if err := d.build(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// Addresses returns the addresses in use, with the port that the system chose where the settings have port 0.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller: d.listeners.caller.Addr().String(),
		Peer:   d.listeners.peer.Addr().String(),
		Admin:  d.listeners.admin.Addr().String(),
	}
}

// Stop begins a graceful shutdown, as cancelling the context of Run does. Further calls have no effect.
func (d *Daemon) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
}
