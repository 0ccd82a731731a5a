package edge

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
	"github.com/mulberryglade/mulberryglade/pkg/streamorigin"
)

const (
	// originBatchInterval is the time between two batches of an instance, for up to originBaselineInstances instances. With
	// more it grows in proportion up to originMaxBatchInterval, since all share the calls that the store takes. Streams that
	// began since the last batch are not known if all instances end.
	originBatchInterval     = 250 * time.Millisecond
	originMaxBatchInterval  = time.Second
	originBaselineInstances = 15
	// originLeasePeriod is how long batches are attached to the same lease.
	originLeasePeriod = 10 * time.Second
	// originWriteTimeout bounds each call that writes origins.
	originWriteTimeout = time.Second
	// versionRetention is how long a version is kept that no endpoint has any more: longer than a stream lasts.
	versionRetention = defaultRequestTimeout + originMargin
	// versionCheckInterval is the time between two checks for versions that no endpoint has any more.
	versionCheckInterval = 5 * time.Second
)

// originWriter writes what streamOrigins knows of this instance's streams and endpoints to the store.
type originWriter struct {
	server  *Server
	store   kvstore.Store
	origins *streamOrigins
	// started is the start time of the process in Unix milliseconds, which makes the keys of its batches its own.
	started int64
	batches int
	// lease is the one of the last batch, taken at leaseSince; zero if there is none.
	lease      kvstore.LeaseID
	leaseSince time.Time
	leaseEnds  time.Time
	// missingSince are the times since when no endpoint has had a version.
	missingSince map[streamorigin.Origin]time.Time
}

func newOriginWriter(s *Server) *originWriter {
	return &originWriter{
		server: s, store: s.deps.Store, origins: s.origins, started: time.Now().UnixMilli(),
		missingSince: make(map[streamorigin.Origin]time.Time),
	}
}

// run writes origins to the store until the context ends, and then once more.
func (w *originWriter) run(ctx context.Context) {
	ticker := time.NewTicker(versionCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-w.origins.checkRequested:
			if written := w.addVersions(ctx) && w.writeBatch(ctx); !written {
				w.origins.requestCheck()
				sleep(ctx, originMaxBatchInterval)
				continue
			}
			sleep(ctx, w.batchInterval())
		case <-ticker.C:
			w.dropVersions(ctx, time.Now())
		}
	}
	final, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	w.writeBatch(final)
}

func (w *originWriter) batchInterval() time.Duration {
	instances := max(w.server.instances.count(time.Now()), originBaselineInstances)
	return min(originBatchInterval*time.Duration(instances)/originBaselineInstances, originMaxBatchInterval)
}

// addVersions adds the versions of endpoints to those in the store, for services with resumable streams. It returns false if
// some are not there.
func (w *originWriter) addVersions(ctx context.Context) bool {
	present := make(streamorigin.Versions)
	for _, service := range resumableServices(w.server.table.Load()) {
		if versions := w.server.deps.Fleet.Software(service); len(versions) > 0 {
			present[service] = versions
		}
	}
	// Another instance may write first, and then another one.
	for range 3 {
		w.origins.mu.Lock()
		versions, complete := w.origins.versions.With(present), w.origins.versions.Contain(present)
		w.origins.mu.Unlock()
		if complete {
			return true
		}
		if !w.writeVersions(ctx, versions) {
			return false
		}
	}
	return false
}

// resumableServices returns the services that have resumable streams.
func resumableServices(table *routing.Table) []string {
	if table == nil {
		return nil
	}
	var services []string
	for i := range table.Config.Routes {
		route := &table.Config.Routes[i]
		if route.Kind != routing.Streaming || !route.Resumable {
			continue
		}
		for _, target := range route.Targets {
			if !slices.Contains(services, target.Service) {
				services = append(services, target.Service)
			}
		}
	}
	return services
}

// writeVersions replaces the versions in the store if nobody else has changed them. It returns false after an error.
func (w *originWriter) writeVersions(ctx context.Context, versions streamorigin.Versions) bool {
	ctx, cancel := context.WithTimeout(ctx, originWriteTimeout)
	defer cancel()
	value, err := versions.Encode()
	if err != nil {
		w.server.log.Error("versions of services not written", zap.Error(err))
		return false
	}
	w.origins.mu.Lock()
	expected := w.origins.versionsRevision
	w.origins.mu.Unlock()
	results, err := w.store.Commit(ctx, []kvstore.ConditionalWrite{{
		Conditions: []kvstore.Condition{{Key: originVersionsKey, Equals: expected}},
		Puts:       []kvstore.Put{{Key: originVersionsKey, Value: value}},
	}})
	if err != nil {
		w.server.log.Info("versions of services not written", zap.Error(err))
		return false
	}
	if results[0].Applied {
		w.origins.applyVersions(&kvstore.KeyValue{Key: originVersionsKey, Value: value, ModRevision: results[0].Revision})
		return true
	}
	return w.readVersions(ctx)
}

// readVersions reads the versions that somebody else has written. It returns false after an error.
func (w *originWriter) readVersions(ctx context.Context) bool {
	item, found, revision, err := w.store.Get(ctx, originVersionsKey)
	if err != nil {
		w.server.log.Info("versions of services not read", zap.Error(err))
		return false
	}
	if found {
		w.origins.applyVersions(&item)
		return true
	}
	w.origins.mu.Lock()
	defer w.origins.mu.Unlock()
	if revision > w.origins.versionsRevision {
		w.origins.versionsRevision = 0
	}
	return true
}

// dropVersions drops versions from the store that no endpoint has had for versionRetention. Only the instance that places
// models does, while its view is recent.
func (w *originWriter) dropVersions(ctx context.Context, now time.Time) {
	_, holder := w.server.lease.Held()
	if !holder || w.server.storeView.age(now) >= w.server.settings().Bounds.watchInterval() {
		clear(w.missingSince)
		return
	}
	w.origins.mu.Lock()
	versions := w.origins.versions
	w.origins.mu.Unlock()
	for service, of := range versions {
		present := w.server.deps.Fleet.Software(service)
		for _, version := range of {
			origin := streamorigin.Origin{Service: service, Version: version}
			since, missing := w.missingSince[origin]
			switch {
			case slices.Contains(present, version):
				delete(w.missingSince, origin)
			case !missing:
				w.missingSince[origin] = now
			case now.Sub(since) >= versionRetention:
				delete(w.missingSince, origin)
				w.writeVersions(ctx, versions.Without(service, version))
				return
			}
		}
	}
}

// writeBatch writes the origins of streams that began since the last batch, of services with several versions. It returns
// false if they are not written.
func (w *originWriter) writeBatch(ctx context.Context) bool {
	streams := w.takeUnwritten(time.Now())
	if len(streams) == 0 {
		return true
	}
	if len(streams) == maxBatchStreams {
		w.origins.requestCheck()
	}
	err := w.writeStreams(ctx, streams, time.Now())
	if err == nil {
		return true
	}
	w.server.log.Info("origins of streams not written", zap.Int("streams", len(streams)), zap.Error(err))
	w.origins.mu.Lock()
	defer w.origins.mu.Unlock()
	w.origins.unwritten = append(w.origins.unwritten, streams...)
	return false
}

// maxBatchStreams bounds the streams of one batch.
const maxBatchStreams = 1000

// takeUnwritten removes and returns streams for the next batch.
func (w *originWriter) takeUnwritten(now time.Time) []streamorigin.Stream {
	mixed := make(map[string]bool)
	for _, service := range resumableServices(w.server.table.Load()) {
		mixed[service] = w.origins.mixed(service)
	}
	w.origins.mu.Lock()
	defer w.origins.mu.Unlock()
	w.origins.dropEnded(now)
	var taken []streamorigin.Stream
	w.origins.unwritten = slices.DeleteFunc(w.origins.unwritten, func(s streamorigin.Stream) bool {
		take := mixed[s.Origin.Service] && len(taken) < maxBatchStreams
		if take {
			taken = append(taken, s)
		}
		return take
	})
	return taken
}

// writeStreams writes one batch, attached to a lease that ends after the last of its streams.
func (w *originWriter) writeStreams(ctx context.Context, streams []streamorigin.Stream, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, originWriteTimeout)
	defer cancel()
	ends := now
	for _, s := range streams {
		if s.Ends.After(ends) {
			ends = s.Ends
		}
	}
	if err := w.renewLease(ctx, ends, now); err != nil {
		return err
	}
	value, err := streamorigin.EncodeBatch(streams, now)
	if err != nil {
		return err
	}
	w.batches++
	key := fmt.Sprintf("%s%s/%d-%d", originBatchPrefix, w.server.settings().InstanceID, w.started, w.batches)
	_, err = w.store.Commit(ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: key, Value: value, Lease: w.lease}}}})
	if errors.Is(err, kvstore.ErrLeaseNotFound) {
		w.lease = 0
	}
	return err
}

// renewLease takes another lease if the present one ends too early, or has the batches of originLeasePeriod.
func (w *originWriter) renewLease(ctx context.Context, ends, now time.Time) error {
	if w.lease != 0 && !ends.After(w.leaseEnds) && now.Sub(w.leaseSince) < originLeasePeriod {
		return nil
	}
	id, ttl, err := w.store.Grant(ctx, ends.Sub(now)+originLeasePeriod)
	if err != nil {
		return err
	}
	w.lease, w.leaseSince, w.leaseEnds = id, now, now.Add(ttl)
	return nil
}
