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
	// closeTimeout bounds writing the last responses.
	closeTimeout = 2 * time.Second
	// peerCheckInterval is how often an instance looks whether it has become or ceased to be a relay.
	peerCheckInterval = 500 * time.Millisecond
)

var (
	errNoConfiguration = errors.New("no configuration yet")
	errDraining        = errors.New("shutting down")
)

// Ready returns why the instance must get no new work, or nil.
func (d *Daemon) Ready() error {
	if d.draining.Load() {
		return errDraining
	}
	if d.syncer.Current() == nil {
		return errNoConfiguration
	}
	return nil
}

// Run serves until the context ends, then shuts down gracefully: not ready, leases released, new work refused after the
// grace, requests in flight finished. Errors: a listener failed.
func (d *Daemon) Run(ctx context.Context) error {
	d.log.Info("instance started",
		zap.String("incarnation", d.identity.Incarnation),
		zap.String("dataCentre", d.settings.DataCentre),
		zap.Any("addresses", d.Addresses()))
	// Control ends at the beginning of the shutdown, the rest after the last request.
	control, stopControl := context.WithCancel(context.WithoutCancel(ctx))
	defer stopControl()
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()

	var group conc.WaitGroup
	failed := make(chan error, serverCount)
	d.startServers(&group, failed)
	group.Go(func() { d.syncer.Run(background) })
	group.Go(func() { d.node.Run(background) })
	group.Go(func() { d.registry.Run(background) })
	group.Go(func() { d.admission.Run(background) })
	group.Go(func() { d.applyChanges(background) })
	group.Go(func() { d.followPeers(background) })
	group.Go(func() { d.followInstances(background) })
	group.Go(func() { d.runPlacement(control) })

	var err error
	select {
	case <-ctx.Done():
	case <-d.stop:
	case err = <-failed:
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

// serverCount is the number of listeners.
const serverCount = 3

func (d *Daemon) startServers(group *conc.WaitGroup, failed chan<- error) {
	group.Go(func() { report(failed, d.gateway.Serve(d.listeners.caller)) })
	group.Go(func() { report(failed, d.servePeers()) })
	group.Go(func() { report(failed, d.admin.Serve(d.listeners.admin)) })
}

func report(failed chan<- error, err error) {
	if err != nil {
		failed <- err
	}
}

func (d *Daemon) servePeers() error {
	err := d.peerServer.Serve(d.listeners.peer)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "peer server")
}

// shutDown ends new work and waits for requests in flight. The placement leases are released first, so that another
// instance can take over without waiting for their expiry.
func (d *Daemon) shutDown(stopControl func()) {
	d.log.Info("shutting down", zap.Int64("graceMs", d.settings.Shutdown.GraceMs))
	d.draining.Store(true)
	stopControl()
	_ = timing.Sleep(context.Background(), config.Milliseconds(d.settings.Shutdown.GraceMs))
	ctx, cancel := context.WithTimeout(context.Background(), config.Milliseconds(d.settings.Shutdown.DrainMs))
	defer cancel()
	// The gateway refuses new calls. Admission must not refuse yet: calls in flight still ask it, after their claim and
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
		d.log.Warn("caller listener", zap.Error(err))
	}
	if err := d.peerServer.Close(); err != nil {
		d.log.Warn("peer listener", zap.Error(err))
	}
	if err := d.admin.Close(); err != nil {
		d.log.Warn("admin listener", zap.Error(err))
	}
}

func (d *Daemon) closeClients() {
	d.storeClaims.Close()
	d.engine.Close()
	d.services.Close()
	d.serviceLoads.Close()
	d.storeClient.Close()
	if d.instances != nil {
		d.instances.Close()
	}
	if err := d.metrics.Close(); err != nil {
		d.log.Warn("metrics", zap.Error(err))
	}
}

// applyChanges puts each configuration into effect in all components.
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
	limits := limitsOf(snapshot)
	d.modelPacer.Set(limits.modelsPerSecond, limits.concurrentModels)
	d.adapterPacer.Set(0, limits.concurrentAdapters)
	d.topology.Apply(snapshot)
	d.registry.Apply(snapshot)
	d.admission.Apply(snapshot)
	d.log.Info("configuration in effect",
		zap.Int64("revision", snapshot.Revision),
		zap.Duration("age", time.Since(snapshot.CommittedAt)))
}

// followPeers keeps current whether this instance watches the store and which endpoints it polls. It also observes the demand for the operators'
// queries.
func (d *Daemon) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		d.syncer.SetRelay(d.node.Table.IsRelay())
		d.registry.SetInstances(d.pollers())
		d.rates.observe(d.tracker.Total(), time.Now())
		_ = timing.Sleep(ctx, peerCheckInterval)
	}
}

// pollers returns the other instances of the data centre among which polls are divided.
func (d *Daemon) pollers() []string {
	var ids []string
	for _, p := range d.node.Table.Live() {
		if p.Identity.DataCentre == d.settings.DataCentre && !p.Presence.Draining {
			ids = append(ids, p.Identity.InstanceID)
		}
	}
	return ids
}

// forgetEndpoints drops the retry state of endpoints that are not declared any more.
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
