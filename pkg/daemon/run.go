package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/config"
)

const (
	// closeTimeout bounds the time to write the last responses.
	closeTimeout = 2 * time.Second
	// peerRefreshInterval is how often an instance checks whether it is a relay and which instances share the polls.
	peerRefreshInterval = 500 * time.Millisecond
)

var (
	errNoConfiguration = errors.New("no configuration yet")
	errDraining        = errors.New("shutting down")
)

// Ready returns the reason why the instance must get no new work, or nil when it is ready.
func (d *Daemon) Ready() error {
	if d.draining.Load() {
		return errDraining
	}
	if !d.applied.Load() {
		return errNoConfiguration
	}
	return nil
}

// Run serves until the context ends, Stop is called or a listener fails, then shuts down gracefully: the instance
// reports that it is not ready, releases its leases, rejects new work after the grace period and finishes the requests
// in flight. Run returns an error when a listener failed.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("instance started",
		zap.String("incarnation", d.identity.Incarnation),
		zap.String("dataCentre", d.settings.DataCentre),
		zap.Any("addresses", d.Addresses()))
	// controlCtx ends at the beginning of the shutdown, backgroundCtx after the last request.
	controlCtx, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	backgroundCtx, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()

	var group conc.WaitGroup
	failures := make(chan error, listenerCount)
	d.startServers(&group, failures)
	group.Go(func() { d.syncer.Run(backgroundCtx) })
	group.Go(func() { d.peerNode.Run(backgroundCtx) })
	group.Go(func() { d.registry.Run(backgroundCtx) })
	group.Go(func() { d.admission.Run(backgroundCtx) })
	group.Go(func() { d.applyChanges(backgroundCtx) })
	group.Go(func() { d.refreshPeerState(backgroundCtx) })
	group.Go(func() { d.pollInstanceList(backgroundCtx) })
	group.Go(func() { d.runPlacement(controlCtx) })

	var err error
	select {
	case <-ctx.Done():
	case <-d.stop:
	case err = <-failures:
		d.log.Error("listener failed; shutting down", zap.Error(err))
	}
	d.shutDown(stopControl)
	stopBackground()
	d.closeServers()
	group.Wait()
	d.closeClients()
	d.log.Info("instance stopped")
	return err
}

// listenerCount is the number of listeners; each sends at most one error.
const listenerCount = 3

func (d *Daemon) startServers(group *conc.WaitGroup, failures chan<- error) {
	group.Go(func() { sendError(failures, d.gateway.Serve(d.listeners.caller)) })
	group.Go(func() { sendError(failures, d.servePeers()) })
	group.Go(func() { sendError(failures, d.admin.Serve(d.listeners.admin)) })
}

func sendError(failures chan<- error, err error) {
	if err != nil {
		failures <- err
	}
}

func (d *Daemon) servePeers() error {
	err := d.peerServer.Serve(d.listeners.peer)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "peer server")
}

// shutDown rejects new work and waits for the requests in flight. It releases the placement leases first, so that
// another instance can acquire them without waiting for their expiry.
func (d *Daemon) shutDown(stopControl func()) {
	d.log.Info("shutting down", zap.Int64("graceMs", d.settings.Shutdown.GraceMs))
	d.draining.Store(true)
	stopControl()
	_ = timing.Sleep(context.Background(), config.Milliseconds(d.settings.Shutdown.GraceMs))
	ctx, cancel := context.WithTimeout(context.Background(), config.Milliseconds(d.settings.Shutdown.DrainMs))
	defer cancel()
	// The gateway rejects new calls. Admission must still accept: calls in flight pass through it after their claim and
	// before each further attempt.
	if err := d.gateway.Drain(ctx); err != nil {
		d.log.Error("requests were still in flight at the end of the drain time", zap.Error(err))
	}
	d.admission.Drain()
}

func (d *Daemon) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := d.gateway.Close(ctx); err != nil {
		d.log.Warn("close caller listener", zap.Error(err))
	}
	if err := d.peerServer.Close(); err != nil {
		d.log.Warn("close peer listener", zap.Error(err))
	}
	if err := d.admin.Close(); err != nil {
		d.log.Warn("close admin listener", zap.Error(err))
	}
}

func (d *Daemon) closeClients() {
	d.storeClaims.Close()
	d.engineClient.Close()
	d.servicePool.Close()
	d.serviceLoads.Close()
	d.storeClient.Close()
	if d.instanceListClient != nil {
		d.instanceListClient.Close()
	}
	if err := d.metrics.Close(); err != nil {
		d.log.Warn("metrics", zap.Error(err))
	}
}

// applyChanges applies each new configuration to all components.
func (d *Daemon) applyChanges(ctx context.Context) {
	var previous *config.Snapshot
	for ctx.Err() == nil {
		changed := d.syncer.Changed()
		if snapshot := d.syncer.Current(); snapshot != nil {
			d.apply(snapshot)
			d.forgetEndpoints(previous, snapshot)
			previous = snapshot
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (d *Daemon) apply(snapshot *config.Snapshot) {
	limits := loadLimitsOf(snapshot)
	d.modelPacer.Set(limits.modelsPerSecond, limits.concurrentModels)
	d.adapterPacer.Set(0, limits.concurrentAdapters)
	d.topology.Apply(snapshot)
	d.registry.Apply(snapshot)
	d.admission.Apply(snapshot)
	d.applied.Store(true)
	d.log.Info("configuration in effect",
		zap.Int64("revision", snapshot.Revision),
		zap.Duration("age", time.Since(snapshot.CommittedAt)))
}

// refreshPeerState keeps up to date whether this instance watches the store as a relay and which endpoints it polls. It
// also records the demand for the operators' queries.
func (d *Daemon) refreshPeerState(ctx context.Context) {
	for ctx.Err() == nil {
		d.syncer.SetRelay(d.peerNode.Table.IsRelay())
		d.registry.SetInstances(d.pollers())
		d.rates.observe(d.tracker.Total(), time.Now())
		_ = timing.Sleep(ctx, peerRefreshInterval)
	}
}

// pollers returns the other instances of the data centre that share the polling of endpoints.
func (d *Daemon) pollers() []string {
	var ids []string
	for _, p := range d.peerNode.Table.Live() {
		if p.Identity.DataCentre == d.settings.DataCentre && !p.Presence.Draining {
			ids = append(ids, p.Identity.InstanceID)
		}
	}
	return ids
}

// forgetEndpoints removes the retry state of endpoints that are no longer declared.
func (d *Daemon) forgetEndpoints(previous, current *config.Snapshot) {
	if previous == nil {
		return
	}
	for _, e := range previous.Records().Endpoints {
		if current.Endpoint(e.Name) == nil {
			d.retryBudget.Forget(e.Name)
		}
	}
}
