package edge

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
	"github.com/mulberryglade/mulberryglade/pkg/streamorigin"
)

const (
	// originPrefix is the prefix of the keys that say at which software versions streams began.
	originPrefix = keyPrefix + "streams/"
	// originVersionsKey is the key of the versions at which streams of each service may have begun.
	originVersionsKey = originPrefix + "versions"
	// originBatchPrefix is the prefix of batches of streams, followed by the instance, its start and a number.
	originBatchPrefix = originPrefix + "begun/"
	// originBatchInterval is the time between two batches of an instance, for up to originBaselineInstances instances. With
	// more it grows in proportion up to originMaxBatchInterval, since all share the calls that the store takes. Streams that
	// began since the last batch are not known if all instances end.
	originBatchInterval     = 250 * time.Millisecond
	originMaxBatchInterval  = time.Second
	originBaselineInstances = 15
	// originMargin is added to the time for which a stream may be taken up: its client counts from an earlier time.
	originMargin = 5 * time.Second
	// originLeasePeriod is how long batches are attached to the same lease.
	originLeasePeriod = 10 * time.Second
	// originReadTimeout bounds the time that a take-up waits for the store.
	originReadTimeout = 500 * time.Millisecond
	// originWriteTimeout bounds each call that writes origins.
	originWriteTimeout = time.Second
	// versionRetention is how long a version is kept that no endpoint has any more: longer than a stream lasts.
	versionRetention = defaultRequestTimeout + originMargin
	// versionCheckInterval is the time between two checks for versions that no endpoint has any more.
	versionCheckInterval = 5 * time.Second
)

// streamOrigins knows at which software version of an endpoint each resumable stream began, also those that other instances
// began. While a service has several versions, instances write the origins of their streams to the store. A version is in
// the store before the first stream begins there, so that a stream without a record began at the only version if there is
// only one, and is not continued otherwise.
type streamOrigins struct {
	server  *Server
	store   kvstore.Store
	records *streamorigin.Records
	started int64
	// checkRequested requests that versions are added and a batch is written.
	checkRequested chan struct{}
	// reads run the reads of the store for take-ups.
	reads conc.WaitGroup
	// readMu is held by the read in progress.
	readMu sync.Mutex

	mu sync.Mutex
	// versions are those in the store as of versionsRevision; zero if the key does not exist.
	versions         streamorigin.Versions
	versionsRevision kvstore.Revision
	// unwritten are this instance's streams that no batch has.
	unwritten []streamorigin.Stream
	// nextRead is the read that has not begun yet; nil if there is none.
	nextRead *originRead

	// The fields below are used by run only.
	batches      int
	lease        kvstore.LeaseID
	leaseSince   time.Time
	leaseEnds    time.Time
	missingSince map[streamorigin.Origin]time.Time
}

// originRead is a read of the origins from the store.
type originRead struct {
	done chan struct{}
	err  error
}

func newStreamOrigins(server *Server, store kvstore.Store) *streamOrigins {
	return &streamOrigins{
		server: server, store: store, records: streamorigin.NewRecords(), started: time.Now().UnixMilli(),
		checkRequested: make(chan struct{}, 1), missingSince: make(map[streamorigin.Origin]time.Time),
	}
}

// requestCheck makes run check for versions to be added and streams to be written.
func (o *streamOrigins) requestCheck() {
	select {
	case o.checkRequested <- struct{}{}:
	default:
	}
}

// run writes origins to the store until the context ends, and then once more.
func (o *streamOrigins) run(ctx context.Context) {
	ticker := time.NewTicker(versionCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-o.checkRequested:
			if written := o.addVersions(ctx) && o.writeBatch(ctx); !written {
				o.requestCheck()
				sleep(ctx, originMaxBatchInterval)
				continue
			}
			sleep(ctx, o.batchInterval())
		case <-ticker.C:
			o.dropVersions(ctx, time.Now())
		}
	}
	final, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	o.writeBatch(final)
	o.reads.Wait()
}

func (o *streamOrigins) batchInterval() time.Duration {
	instances := max(o.server.instances.count(time.Now()), originBaselineInstances)
	return min(originBatchInterval*time.Duration(instances)/originBaselineInstances, originMaxBatchInterval)
}

// begin records a stream that begins at this instance.
func (o *streamOrigins) begin(requestID string, origin streamorigin.Origin, ends time.Time) {
	s := streamorigin.Stream{Key: streamorigin.KeyOf(requestID), Origin: origin, Ends: ends.Add(originMargin)}
	now := time.Now()
	o.records.Add(s, now)
	o.mu.Lock()
	o.unwritten = append(o.unwritten, s)
	if len(o.unwritten)%maxBatchStreams == 0 {
		o.dropEnded(now)
	}
	o.mu.Unlock()
	if o.mixed(origin.Service) {
		o.requestCheck()
	}
}

// maxBatchStreams bounds the streams of one batch.
const maxBatchStreams = 1000

// dropEnded drops the unwritten streams that have ended. The caller holds the lock.
func (o *streamOrigins) dropEnded(now time.Time) {
	o.unwritten = slices.DeleteFunc(o.unwritten, func(s streamorigin.Stream) bool { return !s.Ends.After(now) })
}

// known returns the versions of a service at which streams may have begun, as far as this instance knows: those in the store
// and those of the present endpoints.
func (o *streamOrigins) known(service string) []string {
	present := streamorigin.Versions{service: o.server.deps.Fleet.Software(service)}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions.With(present)[service]
}

// mixed reports whether streams of a service may have begun at several versions.
func (o *streamOrigins) mixed(service string) bool {
	return len(o.known(service)) > 1
}

// allowed returns the versions at which a stream of a service may begin; nil means all. Versions that the store does not have
// yet are left out, unless endpoints have no other.
func (o *streamOrigins) allowed(service string) []string {
	o.mu.Lock()
	added := o.versions[service]
	o.mu.Unlock()
	present := o.server.deps.Fleet.Software(service)
	isAdded := func(version string) bool { return slices.Contains(added, version) }
	if !slices.ContainsFunc(present, isAdded) || !slices.ContainsFunc(present, func(v string) bool { return !isAdded(v) }) {
		return nil
	}
	return added
}

// versionOf returns the version at which a stream of a service began, and false if that is not known. It returns an empty
// version if the service has none.
func (o *streamOrigins) versionOf(ctx context.Context, service, requestID string) (string, bool) {
	if version, found := o.recorded(service, requestID); found {
		return version, true
	}
	if version, only := o.only(service); only && o.server.storeView.age(time.Now()) < o.server.settings().Bounds.watchInterval() {
		return version, true
	}
	err := o.read(ctx)
	if version, found := o.recorded(service, requestID); found {
		return version, true
	}
	if version, only := o.only(service); only {
		return version, true
	}
	o.server.metrics.takeUps.unknown.Inc(1)
	o.server.log.Info("origin of a stream not known", zap.String("resumes", requestID), zap.String("service", service),
		zap.Strings("versions", o.known(service)), zap.Error(err))
	return "", false
}

// recorded returns the version that a record names.
func (o *streamOrigins) recorded(service, requestID string) (version string, found bool) {
	origin, found := o.records.Lookup(streamorigin.KeyOf(requestID))
	if !found || requestID == "" || origin.Service != service {
		return "", false
	}
	o.server.metrics.takeUps.recorded.Inc(1)
	return origin.Version, true
}

// only returns the version of a service if there is at most one.
func (o *streamOrigins) only(service string) (string, bool) {
	known := o.known(service)
	if len(known) > 1 {
		return "", false
	}
	o.server.metrics.takeUps.only.Inc(1)
	return strings.Join(known, ""), true
}

// read reads the origins from the store, by a call that begins after it was called. Reads that wait for the same call share
// it: after a failure many streams are taken up at once.
func (o *streamOrigins) read(ctx context.Context) error {
	o.mu.Lock()
	call := o.nextRead
	if call == nil {
		call = &originRead{done: make(chan struct{})}
		o.nextRead = call
		o.reads.Go(func() { o.runRead(call) })
	}
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "read origins of streams")
	}
}

func (o *streamOrigins) runRead(call *originRead) {
	o.readMu.Lock()
	defer o.readMu.Unlock()
	defer close(call.done)
	o.mu.Lock()
	o.nextRead = nil
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), originReadTimeout)
	defer cancel()
	items, _, err := o.store.Range(ctx, originPrefix)
	if err != nil {
		call.err = err
		return
	}
	now := time.Now()
	for i := range items {
		o.apply(&items[i], now)
	}
}

// apply applies an entry of the store.
func (o *streamOrigins) apply(item *kvstore.KeyValue, now time.Time) {
	if item.Key == originVersionsKey {
		o.applyVersions(item)
		return
	}
	streams, err := streamorigin.DecodeBatch(item.Value, now)
	if err != nil {
		o.server.log.Warn("origins of streams cannot be decoded", zap.String("key", item.Key), zap.Error(err))
		return
	}
	for _, s := range streams {
		o.records.Add(s, now)
	}
}

// applyVersions applies the versions in the store, unless newer ones are known. After a restore of the store from an older copy,
// the versions known before are kept and added again.
func (o *streamOrigins) applyVersions(item *kvstore.KeyValue) {
	versions, err := streamorigin.DecodeVersions(item.Value)
	if err != nil {
		o.server.log.Warn("versions of services cannot be decoded", zap.Error(err))
		return
	}
	o.mu.Lock()
	if item.ModRevision <= o.versionsRevision {
		o.mu.Unlock()
		return
	}
	if isNewEra(int64(o.versionsRevision), int64(item.ModRevision)) {
		versions = versions.With(o.versions)
	}
	o.versions, o.versionsRevision = versions, item.ModRevision
	o.mu.Unlock()
	o.server.log.Info("versions at which streams begin", zap.Any("versions", versions), zap.Int64("revision", int64(item.ModRevision)))
	o.server.deps.Fleet.Wake()
	o.requestCheck()
}

// addVersions adds the versions of endpoints to those in the store, for services with resumable streams. It returns false if
// some are not there.
func (o *streamOrigins) addVersions(ctx context.Context) bool {
	present := make(streamorigin.Versions)
	for _, service := range resumableServices(o.server.table.Load()) {
		if versions := o.server.deps.Fleet.Software(service); len(versions) > 0 {
			present[service] = versions
		}
	}
	// Another instance may write first, and then another one.
	for range 3 {
		o.mu.Lock()
		versions, complete := o.versions.With(present), o.versions.Contain(present)
		o.mu.Unlock()
		if complete {
			return true
		}
		if !o.writeVersions(ctx, versions) {
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
func (o *streamOrigins) writeVersions(ctx context.Context, versions streamorigin.Versions) bool {
	ctx, cancel := context.WithTimeout(ctx, originWriteTimeout)
	defer cancel()
	value, err := versions.Encode()
	if err != nil {
		o.server.log.Error("versions of services not written", zap.Error(err))
		return false
	}
	o.mu.Lock()
	expected := o.versionsRevision
	o.mu.Unlock()
	results, err := o.store.Commit(ctx, []kvstore.ConditionalWrite{{
		Conditions: []kvstore.Condition{{Key: originVersionsKey, Equals: expected}},
		Puts:       []kvstore.Put{{Key: originVersionsKey, Value: value}},
	}})
	if err != nil {
		o.server.log.Info("versions of services not written", zap.Error(err))
		return false
	}
	if results[0].Applied {
		o.applyVersions(&kvstore.KeyValue{Key: originVersionsKey, Value: value, ModRevision: results[0].Revision})
		return true
	}
	return o.readVersions(ctx)
}

// readVersions reads the versions that somebody else has written. It returns false after an error.
func (o *streamOrigins) readVersions(ctx context.Context) bool {
	item, found, revision, err := o.store.Get(ctx, originVersionsKey)
	if err != nil {
		o.server.log.Info("versions of services not read", zap.Error(err))
		return false
	}
	if found {
		o.applyVersions(&item)
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if revision > o.versionsRevision {
		o.versionsRevision = 0
	}
	return true
}

// dropVersions drops versions from the store that no endpoint has had for versionRetention. Only the instance that places
// models does, while its view is recent.
func (o *streamOrigins) dropVersions(ctx context.Context, now time.Time) {
	_, holder := o.server.lease.Held()
	if !holder || o.server.storeView.age(now) >= o.server.settings().Bounds.watchInterval() {
		clear(o.missingSince)
		return
	}
	o.mu.Lock()
	versions := o.versions
	o.mu.Unlock()
	for service, of := range versions {
		present := o.server.deps.Fleet.Software(service)
		for _, version := range of {
			origin := streamorigin.Origin{Service: service, Version: version}
			since, missing := o.missingSince[origin]
			switch {
			case slices.Contains(present, version):
				delete(o.missingSince, origin)
			case !missing:
				o.missingSince[origin] = now
			case now.Sub(since) >= versionRetention:
				delete(o.missingSince, origin)
				o.writeVersions(ctx, versions.Without(service, version))
				return
			}
		}
	}
}

// writeBatch writes the origins of streams that began since the last batch, of services with several versions. It returns
// false if they are not written.
func (o *streamOrigins) writeBatch(ctx context.Context) bool {
	streams := o.takeUnwritten(time.Now())
	if len(streams) == 0 {
		return true
	}
	err := o.writeStreams(ctx, streams, time.Now())
	if err == nil {
		return true
	}
	o.server.log.Info("origins of streams not written", zap.Int("streams", len(streams)), zap.Error(err))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unwritten = append(o.unwritten, streams...)
	return false
}

// takeUnwritten removes and returns streams for the next batch.
func (o *streamOrigins) takeUnwritten(now time.Time) []streamorigin.Stream {
	mixed := make(map[string]bool)
	for _, service := range resumableServices(o.server.table.Load()) {
		mixed[service] = o.mixed(service)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropEnded(now)
	var taken []streamorigin.Stream
	o.unwritten = slices.DeleteFunc(o.unwritten, func(s streamorigin.Stream) bool {
		take := mixed[s.Origin.Service] && len(taken) < maxBatchStreams
		if take {
			taken = append(taken, s)
		}
		return take
	})
	return taken
}

// writeStreams writes one batch, attached to a lease that ends after the last of its streams.
func (o *streamOrigins) writeStreams(ctx context.Context, streams []streamorigin.Stream, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, originWriteTimeout)
	defer cancel()
	ends := now
	for _, s := range streams {
		if s.Ends.After(ends) {
			ends = s.Ends
		}
	}
	if err := o.renewLease(ctx, ends, now); err != nil {
		return err
	}
	value, err := streamorigin.EncodeBatch(streams, now)
	if err != nil {
		return err
	}
	o.batches++
	key := fmt.Sprintf("%s%s/%d-%d", originBatchPrefix, o.server.settings().InstanceID, o.started, o.batches)
	_, err = o.store.Commit(ctx, []kvstore.ConditionalWrite{{Puts: []kvstore.Put{{Key: key, Value: value, Lease: o.lease}}}})
	if errors.Is(err, kvstore.ErrLeaseNotFound) {
		o.lease = 0
	}
	return err
}

// renewLease takes another lease if the present one ends too early, or has the batches of originLeasePeriod.
func (o *streamOrigins) renewLease(ctx context.Context, ends, now time.Time) error {
	if o.lease != 0 && !ends.After(o.leaseEnds) && now.Sub(o.leaseSince) < originLeasePeriod {
		return nil
	}
	id, ttl, err := o.store.Grant(ctx, ends.Sub(now)+originLeasePeriod)
	if err != nil {
		return err
	}
	o.lease, o.leaseSince, o.leaseEnds = id, now, now.Add(ttl)
	return nil
}

// bindToOrigin binds a request that takes a stream up to the version that began it. It returns false if that is not known.
func (r *clientRequest) bindToOrigin() bool {
	version, known := r.server.origins.versionOf(r.ctx, r.service.Name, r.request.Resumes)
	if !known {
		return false
	}
	if version != "" {
		r.software = []string{version}
	}
	r.log.Info("stream taken up", zap.String("resumes", r.request.Resumes), zap.String("lastEvent", r.request.LastEventID),
		zap.String("version", version))
	return true
}

// recordOrigin records at which version a stream begins, and binds the rest of the response to it. It has no effect after the
// first event.
func (r *clientRequest) recordOrigin(a *attempt) {
	if !r.route.Repeatable() || r.boundToSoftware() || a.choice.Software == "" {
		return
	}
	r.software = []string{a.choice.Software}
	origin := streamorigin.Origin{Service: r.service.Name, Version: a.choice.Software}
	r.server.origins.begin(r.request.ID, origin, r.deadline)
}

// boundToSoftware reports whether the request may run at one version only.
func (r *clientRequest) boundToSoftware() bool {
	return r.software != nil
}

// continuesStream reports whether the client has received a part of the stream, in this response or before.
func (r *clientRequest) continuesStream() bool {
	return r.boundToSoftware() || r.route.Repeatable() && r.route.Kind == routing.Streaming && r.request.LastEventID != ""
}

// allowedSoftware returns the versions that may run the request; nil means all.
func (r *clientRequest) allowedSoftware() []string {
	if r.boundToSoftware() || r.route.Kind != routing.Streaming || !r.route.Resumable {
		return r.software
	}
	return r.server.origins.allowed(r.service.Name)
}
