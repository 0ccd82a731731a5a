package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/streamorigin"
)

const (
	// originPrefix is the prefix of the keys that say at which software versions streams began.
	originPrefix = keyPrefix + "streams/"
	// originVersionsKey is the key of the versions at which streams of each service may have begun.
	originVersionsKey = originPrefix + "versions"
	// originBatchPrefix is the prefix of batches of streams, followed by the instance, its start and a number.
	originBatchPrefix = originPrefix + "begun/"
	// originMargin is added to the time for which a stream may be taken up: its client counts from an earlier time.
	originMargin = 5 * time.Second
	// originReadTimeout bounds the time that a take-up waits for the store.
	originReadTimeout = 500 * time.Millisecond
)

// streamOrigins knows at which software version of an endpoint each resumable stream began, also those that other instances
// began. While a service has several versions, instances write the origins of their streams to the store. A version is in
// the store before the first stream begins there, so that a stream without a record began at the only version if there is
// only one, and is not continued otherwise.
type streamOrigins struct {
	server  *Server
	store   kvstore.Store
	records *streamorigin.Records
	// checkRequested makes the originWriter add versions and write a batch.
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
}

// originRead is a read of the origins from the store.
type originRead struct {
	done chan struct{}
	err  error
}

func newStreamOrigins(server *Server, store kvstore.Store) *streamOrigins {
	return &streamOrigins{
		server: server, store: store, records: streamorigin.NewRecords(),
		checkRequested: make(chan struct{}, 1),
	}
}

// requestCheck makes the originWriter check for versions to be added and streams to be written.
func (o *streamOrigins) requestCheck() {
	select {
	case o.checkRequested <- struct{}{}:
	default:
	}
}

// unwrittenCheckCount is the number of unwritten streams after which those that have ended are dropped.
const unwrittenCheckCount = 1000

// begin records a stream that begins at this instance.
func (o *streamOrigins) begin(requestID string, origin streamorigin.Origin, ends time.Time) {
	s := streamorigin.Stream{Key: streamorigin.KeyOf(requestID), Origin: origin, Ends: ends.Add(originMargin)}
	now := time.Now()
	o.records.Add(s, now)
	o.mu.Lock()
	o.unwritten = append(o.unwritten, s)
	if len(o.unwritten)%unwrittenCheckCount == 0 {
		o.dropEnded(now)
	}
	o.mu.Unlock()
	if o.mixed(origin.Service) {
		o.requestCheck()
	}
}

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
