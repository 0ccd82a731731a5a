package daemon

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	"github.com/mulberryglade/mulberryglade/pkg/engine"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/lease"
	"github.com/mulberryglade/mulberryglade/pkg/ledger"
	"github.com/mulberryglade/mulberryglade/pkg/placement"
)

const (
	// leaseCandidates is the number of instances of a data centre that try to acquire a placement lease. Without this
	// bound, the number of store calls would grow with the number of instances.
	leaseCandidates = 2
	// leasePollInterval is how often a placement goroutine checks whether this instance holds the lease.
	leasePollInterval = 250 * time.Millisecond
)

// leaseGuard provides the lease condition that the ledger adds to each write.
type leaseGuard struct {
	holder *lease.Holder
}

var _ ledger.Guard = leaseGuard{}

// Condition implements ledger.Guard.
func (g leaseGuard) Condition() (kvstore.Condition, bool) {
	token, held := g.holder.Held()
	return token.Condition(), held
}

// runPlacement runs two goroutines per placement shard: one acquires and keeps the lease, the other runs the controller
// while the lease is held.
func (d *Daemon) runPlacement(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	running := make(map[int]context.CancelFunc)
	for ctx.Err() == nil {
		shards := d.placementShards()
		for shard := range shards {
			if running[shard] != nil {
				continue
			}
			shardCtx, cancel := context.WithCancel(ctx)
			running[shard] = cancel
			group.Go(func() { d.runShard(shardCtx, shard) })
		}
		for shard, cancel := range running {
			if shard >= shards {
				cancel()
				delete(running, shard)
			}
		}
		_ = timing.Sleep(ctx, time.Second)
	}
}

func (d *Daemon) placementShards() int {
	snapshot := d.syncer.Current()
	if snapshot == nil {
		return 0
	}
	return max(1, snapshot.Deployment().PlacementShards)
}

func (d *Daemon) runShard(ctx context.Context, shard int) {
	key := fmt.Sprintf("%splacement/%s/%d/holder", d.settings.Store.Prefix, d.settings.DataCentre, shard)
	holder := lease.New(lease.Options{
		Store:    d.store,
		Key:      key,
		Identity: d.identity.InstanceID,
		TTL:      d.leaseTTL,
		Eligible: func() bool { return !d.draining.Load() && d.peerNode.Table.RelayPosition() < leaseCandidates },
		Log:      d.log,
		Scope:    d.metrics.Scope,
	})
	meter := newRateMeter(d.tracker.Total, time.Now, d.placementShards)
	controller := placement.NewController(placement.Options{
		DataCentre:      d.settings.DataCentre,
		Shard:           shard,
		Ledger:          d.ledger,
		Guard:           leaseGuard{holder: holder},
		Dialer:          d.engineClient,
		Planner:         d.planner,
		Snapshot:        d.syncer.Current,
		EndpointStatus:  d.endpointStatus,
		Demand:          meter.Demand,
		CopiesElsewhere: d.copiesElsewhere,
		ModelPacer:      d.modelPacer,
		AdapterPacer:    d.adapterPacer,
		Recorder:        d.recorder,
		Log:             d.log,
		Scope:           d.metrics.Scope,
		PlanInterval:    d.planInterval,
		VerifyInterval:  d.verifyInterval,
	})
	d.shards.set(shard, runningShard{controller: controller, holder: holder})
	defer d.shards.remove(shard)

	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { d.runHolder(ctx, holder) })
	for ctx.Err() == nil {
		if _, held := holder.Held(); held {
			d.log.Info("placement lease acquired", zap.Int("shard", shard))
			err := controller.Run(ctx)
			d.log.Info("placement stopped", zap.Int("shard", shard), zap.String("reason", err.Error()))
		}
		_ = timing.Sleep(ctx, leasePollInterval)
	}
}

func (d *Daemon) runHolder(ctx context.Context, holder *lease.Holder) {
	if err := holder.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
		d.log.Error("lease holder stopped", zap.Error(err))
	}
}

// copiesElsewhere counts the loaded copies of each model in other data centres, from the last report of each endpoint.
func (d *Daemon) copiesElsewhere() map[string]int {
	copies := make(map[string]int)
	snapshot := d.syncer.Current()
	if snapshot == nil {
		return copies
	}
	for _, service := range snapshot.Records().Services {
		for _, state := range d.registry.States(service.Name) {
			if state.Endpoint.DataCentre != d.settings.DataCentre && state.Report != nil && !state.Leaving {
				countModels(copies, state.Report)
			}
		}
	}
	return copies
}

func countModels(copies map[string]int, report *engine.Report) {
	for _, a := range report.Artifacts {
		if a.Artifact.Kind == engine.KindModel && a.State == engine.StateLoaded {
			copies[a.Artifact.Name]++
		}
	}
}

// endpointStatus returns whether routing considers an endpoint as leaving or unreachable. An endpoint that is not in
// the registry counts as unreachable.
func (d *Daemon) endpointStatus(name string) placement.Status {
	state, known := d.registry.State(name)
	if !known {
		return placement.Status{Unreachable: true}
	}
	return placement.Status{Leaving: state.Leaving, Unreachable: d.registry.Unreachable(name)}
}

// shardSet is the set of placement shards that this instance runs. It is safe for concurrent use.
type shardSet struct {
	mu      sync.Mutex
	byShard map[int]runningShard
}

type runningShard struct {
	controller *placement.Controller
	holder     *lease.Holder
}

func (s *shardSet) set(shard int, running runningShard) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byShard == nil {
		s.byShard = make(map[int]runningShard)
	}
	s.byShard[shard] = running
}

func (s *shardSet) remove(shard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byShard, shard)
}

// status returns the shards, ordered by number. If this instance holds the lease of a shard, the status has the
// artifacts that the last plan of the shard could not place.
func (s *shardSet) status() []adminapi.ShardStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []adminapi.ShardStatus{}
	for shard, running := range s.byShard {
		_, held := running.holder.Held()
		status := adminapi.ShardStatus{Shard: shard, Held: held}
		if held {
			status.Unplaced = unplacedOf(running.controller)
		}
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Shard < list[j].Shard })
	return list
}

func unplacedOf(controller *placement.Controller) []adminapi.Unplaced {
	var list []adminapi.Unplaced
	for _, u := range controller.Unplaced() {
		list = append(list, adminapi.Unplaced{
			Artifact: adminapi.Artifact{
				Kind:    string(u.Artifact.Kind),
				Name:    u.Artifact.Name,
				Version: u.Artifact.Version,
			},
			Reason: u.Reason,
		})
	}
	return list
}
