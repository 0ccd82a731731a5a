package daemon

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/admin"
	"github.com/mulberryglade/mulberryglade/pkg/admission"
	"github.com/mulberryglade/mulberryglade/pkg/claims"
	"github.com/mulberryglade/mulberryglade/pkg/clientconn"
	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/configsync"
	"github.com/mulberryglade/mulberryglade/pkg/decisions"
	"github.com/mulberryglade/mulberryglade/pkg/demand"
	"github.com/mulberryglade/mulberryglade/pkg/dispatch"
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
	"github.com/mulberryglade/mulberryglade/pkg/retry"
	"github.com/mulberryglade/mulberryglade/pkg/scheduling"
	"github.com/mulberryglade/mulberryglade/pkg/weightstore"
)

const (
	// peerStaleAfter is the time without an exchange after which a peer's in-flight counts are no longer trusted: they
	// count as a lower bound beside the endpoint's report, and this instance uses at most its equal share of the limit.
	// The exchange interval is at most 2.25 s at the design size, so one lost exchange does not make the counts stale.
	peerStaleAfter = 5 * time.Second
	// retryBaseDelay and retryMaxDelay bound the random delay before the first and any later retry.
	retryBaseDelay = 20 * time.Millisecond
	retryMaxDelay  = 500 * time.Millisecond
	// pickerCandidates is the number of candidates up to which all are scored. Of a larger number, a sample is scored.
	pickerCandidates = 64
	// engineDialTimeout bounds connecting to an endpoint, so that an unreachable endpoint does not use up the time to
	// first token.
	engineDialTimeout = 200 * time.Millisecond
	// heldMemoryFraction is the fraction of the memory that the bodies of callers and endpoints may occupy.
	// defaultHeldMemory applies where the memory is unknown; it holds several bodies of the largest size.
	heldMemoryFraction = 0.2
	defaultHeldMemory  = 128 << 20
	// callerConnectionBytes is what a caller's connection takes: the buffers of the server and its goroutines.
	callerConnectionBytes = 36 << 10
)

// heldMemory returns the number of bytes that bodies may occupy.
func heldMemory(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultHeldMemory
	}
	return int64(float64(memoryMB<<20) * heldMemoryFraction)
}

func (d *Daemon) build() error {
	d.recorder = decisions.NewRecorder(d.log, d.settings.DecisionRecords)
	if err := d.buildStore(); err != nil {
		return err
	}
	if err := d.buildEndpoints(); err != nil {
		return err
	}
	d.buildAdmission()
	if err := d.buildPeers(); err != nil {
		return err
	}
	d.buildPlacement()
	if err := d.buildInstanceList(); err != nil {
		return err
	}
	d.buildGateway()
	return d.buildAdmin()
}

func (d *Daemon) buildStore() error {
	tlsConfig, err := clientTLS(d.settings.TLS.StoreCAFile, "tls.storeCaFile")
	if err != nil {
		return err
	}
	d.storeClient, err = etcdgateway.New(etcdgateway.Options{
		URLs:    d.settings.Store.URLs,
		Timeout: config.Milliseconds(d.settings.Store.TimeoutMs),
		Scope:   d.metrics.Scope,
		TLS:     tlsConfig,
		Source:  d.outboundAddress(),
	})
	if err != nil {
		return errors.Wrap(err, "store.urls")
	}
	d.store = contactStore{Store: d.storeClient, onContact: func() { d.syncer.RecordStoreContact() }}
	d.syncer = configsync.New(configsync.Options{
		Store:  d.store,
		Prefix: d.settings.Store.Prefix,
		Peers:  peerSource{daemon: d},
		Log:    d.log,
		Scope:  d.metrics.Scope,
	})
	return nil
}

func (d *Daemon) buildEndpoints() error {
	tlsConfig, err := clientTLS(d.settings.TLS.EngineCAFile, "tls.engineCaFile")
	if err != nil {
		return err
	}
	d.memory = membudget.New(heldMemory(d.settings.Limits.MemoryMB))
	connections := httpconn.Options{
		TLSConfig: tlsConfig, DialTimeout: engineDialTimeout, Source: d.outboundAddress(), Memory: d.memory,
		Rejections: httpconn.NewRejections(d.metrics.Scope, d.log),
	}
	d.engineClient = openaihttp.New(openaihttp.Options{Connections: connections, Scope: d.metrics.Scope})
	d.servicePool = httpconn.NewPool(connections)
	d.servicePool.LimitIdleTotal(clientconn.IdleConnectionLimit(clientconn.DescriptorLimit(d.settings.Limits.MaxFDs)))
	d.serviceLoads = plainhttp.NewReporter(connections)
	options := endpoints.Options{
		StaleAfter: peerStaleAfter,
		Instance:   d.identity.InstanceID,
		DataCentre: d.settings.DataCentre,
	}
	d.registry = endpoints.NewRegistry(d.engineClient, serviceLoads{reporter: d.serviceLoads}, d.log, options)
	return nil
}

func (d *Daemon) buildAdmission() {
	d.tracker = demand.NewTracker()
	d.accountant = fairshare.NewAccountant(fairshare.DefaultWeights())
	d.topology = scheduling.NewSnapshotTopology(d.settings.DataCentre)
	d.linkBudget = scheduling.NewLinkBudget(0)
	d.prefixes = scheduling.NewPrefixIndex(scheduling.DefaultPrefixBlocks)
	d.registry.SetEventSink(d.prefixes)
	seed := d.identity.Seed()
	d.admission = admission.NewController(admission.Dependencies{
		Registry:  d.registry,
		Pipeline:  d.pipeline(seed),
		Order:     queueOrder(d.settings.Policies.Queueing),
		Demand:    d.tracker,
		Shares:    d.accountant,
		Decisions: d.recorder,
		Link:      &scheduling.Link{Topology: d.topology, Budget: d.linkBudget},
		Prefixes:  d.prefixes,
		Scope:     d.metrics.Scope,
	})
}

func (d *Daemon) buildPeers() error {
	tlsConfig, err := d.peerTLS()
	if err != nil {
		return err
	}
	token, err := readToken(d.settings.PeerTokenFile)
	if err != nil {
		return errors.Wrap(err, "peerTokenFile")
	}
	exchange := newPeerExchange(d.registry, d.accountant, d.tracker, d.presence)
	d.peerNode = peer.NewNode(peer.Options{
		Self:      d.identity,
		Seeds:     d.settings.SeedPeers,
		Interval:  config.Milliseconds(d.settings.ExchangeIntervalMs),
		Local:     exchange,
		Sink:      exchange,
		Announcer: d.syncer,
		Control:   d.linkBudget,
		Dial:      peer.NewDialerFrom(d.outboundAddress(), token, tlsConfig),
		Log:       d.log,
		Scope:     d.metrics.Scope,
	})
	d.issuer = claims.NewIssuer(claims.IssuerOptions{
		Instance:    d.identity.InstanceID,
		Incarnation: d.identity.Incarnation,
		Scope:       d.metrics.Scope,
	})
	server := peer.NewServer(d.peerNode, configServer{syncer: d.syncer}, d.issuer)
	d.peerServer = peer.NewHTTPServer(server, token, tlsConfig != nil)
	return nil
}

func (d *Daemon) presence() peer.Presence {
	p := peer.Presence{
		ConfigRevision:  d.syncer.Revision(),
		StoreContactAge: d.syncer.StoreContactAge(),
		Draining:        d.draining.Load(),
		ConfigBehind:    d.syncer.Behind(),
	}
	if snapshot := d.syncer.Current(); snapshot != nil {
		p.ConfigCommittedAt = snapshot.CommittedAt
	}
	return p
}

func (d *Daemon) buildPlacement() {
	d.ledger = ledger.New(d.store, d.settings.Store.Prefix)
	d.planner = planner(d.settings.Policies.Placement)
	d.modelPacer = weightstore.NewPacer(0, 0)
	d.adapterPacer = weightstore.NewPacer(0, 0)
}

func (d *Daemon) buildInstanceList() error {
	if d.settings.InstanceList.URL == "" {
		return nil
	}
	var err error
	d.instanceListClient, err = instancelist.New(instancelist.Options{
		URLs:  []string{d.settings.InstanceList.URL},
		Scope: d.metrics.Scope,
	})
	return errors.Wrap(err, "instanceList.url")
}

// dispatchers returns the dispatchers of model calls and of service calls. They acquire admission for each attempt of a
// call.
func (d *Daemon) dispatchers() (*dispatch.ModelDispatcher, *dispatch.ServiceDispatcher) {
	d.storeClaims = claims.NewStoreClaimer(claims.StoreOptions{
		Store:       d.store,
		Prefix:      d.settings.Store.Prefix,
		Instance:    d.identity.InstanceID,
		Incarnation: d.identity.Incarnation,
		Scope:       d.metrics.Scope,
	})
	router := claims.Router{
		Issued: claims.NewIssuedClaimer(d.issuer, peer.IssuerClient{Node: d.peerNode}),
		Store:  d.storeClaims,
	}
	d.retryBudget = retry.NewBudget(d.retryLimits)
	options := dispatch.Options{
		Gate:    d.admission,
		Budget:  d.retryBudget,
		Backoff: retry.Backoff{Base: retryBaseDelay, Max: retryMaxDelay},
		Log:     d.log,
		Scope:   d.metrics.Scope,
	}
	return dispatch.NewModelDispatcher(d.engineClient, options), dispatch.NewServiceDispatcher(d.servicePool, router, options)
}

func (d *Daemon) retryLimits() retry.Limits {
	snapshot := d.syncer.Current()
	if snapshot == nil {
		return retry.DefaultLimits(0)
	}
	return retry.DefaultLimits(snapshot.Deployment().RetryBudgetRatio)
}

// readToken reads a token file; an empty name means no token.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", errors.WithStack(err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", errors.Newf("file %q is empty", path)
	}
	return token, nil
}

// peerSource fetches configurations from peers.
type peerSource struct {
	daemon *Daemon
}

var _ configsync.PeerSource = peerSource{}

// Fetch implements configsync.PeerSource.
func (p peerSource) Fetch(ctx context.Context, instance string, known int64, have []string) ([]byte, int64, []configstore.Bundle, error) {
	revision, head, bundles, err := p.daemon.peerNode.FetchConfig(ctx, instance, known, have)
	if err != nil {
		return nil, 0, nil, err
	}
	converted := make([]configstore.Bundle, 0, len(bundles))
	for _, b := range bundles {
		converted = append(converted, configstore.Bundle{Digest: b.Digest, Content: b.Content})
	}
	return head, revision, converted, nil
}

// configServer serves the configuration in effect to peers.
type configServer struct {
	syncer *configsync.Syncer
}

var _ peer.ConfigServer = configServer{}

// Newer implements peer.ConfigServer.
func (c configServer) Newer(known int64, have []string) (int64, []byte, []peer.Bundle) {
	head, revision, bundles := c.syncer.CurrentHead(known, have)
	converted := make([]peer.Bundle, 0, len(bundles))
	for _, b := range bundles {
		converted = append(converted, peer.Bundle{Digest: b.Digest, Content: b.Content})
	}
	return revision, head, converted
}

func (d *Daemon) buildGateway() {
	models, services := d.dispatchers()
	limits := d.settings.Limits
	d.gateway = gateway.New(gateway.Options{
		Snapshot: d.syncer.Current,
		Models:   models,
		Services: services,
		Keys:     d.issuer,
		Log:      d.log,
		Scope:    d.metrics.Scope,
		Memory:   d.memory,
		Limits: gateway.Limits{
			MaxBodyBytes:   int(limits.BodyBytes),
			MaxHeaderBytes: limits.HeaderBytes,
			MaxConnections: min(limits.ConcurrentConnections,
				clientconn.ConnectionLimit(clientconn.DescriptorLimit(limits.MaxFDs), limits.MemoryMB, callerConnectionBytes)),
			ReadTimeout: config.Milliseconds(limits.ReadTimeoutMs),
			IdleTimeout: config.Milliseconds(limits.ConnectionIdleMs),
		},
	})
}

func (d *Daemon) buildAdmin() error {
	token, err := readToken(d.settings.OperatorTokenFile)
	if err != nil {
		return errors.Wrap(err, "operatorTokenFile")
	}
	d.admin = admin.NewServer(admin.Options{
		Ready:    d.Ready,
		Metrics:  d.metrics.Handler,
		Token:    token,
		Queries:  queries{daemon: d},
		Commands: commands{daemon: d},
		Log:      d.log,
	})
	return nil
}
