package edge

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/exchange"
	"github.com/mulberryglade/mulberryglade/pkg/fleet"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
	"github.com/mulberryglade/mulberryglade/pkg/routing"
)

// EntryDecoder describes the store entries that other programs write, and decodes them.
type EntryDecoder struct {
	ConfigKey      string
	EndpointPrefix string
	Config         func(value []byte) (*routing.Config, error)
	Endpoint       func(id string, value []byte) (fleet.Announcement, error)
}

const (
	// keyPrefix is the prefix of the keys that instances write.
	keyPrefix = "mulberryglade/"
	// instancePrefix is the prefix of the registered instances. Each entry is attached to the lease of its instance.
	instancePrefix = keyPrefix + "instances/"
	// placementKey is the key of the lease to place models.
	placementKey = keyPrefix + "placement"

	// watchIntervalShare is the fraction of the time in which a change must be known that may pass between two watches.
	// Entries change many times a second and each call has a price, so that watches are spaced. The remaining time is
	// for a lost call and for the latency of the links.
	watchIntervalShare = 0.4
	// watchTimeout bounds one watch with its reply, which may be long. The store's client notices an unresponsive connection
	// earlier.
	watchTimeout = 10 * time.Second
	// longReplyTime is the time after which a watch that fails has received a part of its reply. The reply to another one
	// would be longer still.
	longReplyTime = watchTimeout / 2
	// storeRetryDelay is the delay between attempts while the store does not respond.
	storeRetryDelay = 300 * time.Millisecond
)

// storeWatcher keeps this instance's view of the store up to date.
type storeWatcher struct {
	server *Server
	store  kvstore.Store
	// watch is nil while all entries have to be read first.
	watch kvstore.Watch
	// newEra is set from the end of a watch because of a new era until all entries have been read.
	newEra bool
	// justRead is set from a read of all entries until the next successful watch.
	justRead bool
	// seenRevision is the newest revision seen.
	seenRevision kvstore.Revision
	// unreachableSince is the time of the first failed call; zero while the store responds.
	unreachableSince time.Time
	// failures counts the failed calls of the present outage, the last of which was logged at failureLoggedAt.
	failures        int
	failureLoggedAt time.Time
	// graceEnd is the time until which endpoints that the store no longer lists after an outage are kept.
	graceEnd time.Time
}

// run watches the store until the context ends.
func (w *storeWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if w.watch == nil && !w.resumeAfterRelay(ctx) && !w.readAll(ctx) {
			sleep(ctx, storeRetryDelay)
			continue
		}
		started := time.Now()
		if !w.watchOnce(ctx) {
			sleep(ctx, storeRetryDelay)
			continue
		}
		if w.watch == nil {
			// The missing changes cannot be read.
			continue
		}
		w.afterWatch()
		w.waitForNextWatch(ctx, started)
	}
}

// afterWatch does the periodic work that follows each watch.
func (w *storeWatcher) afterWatch() {
	w.expireEndpoints()
	w.server.limitIdleConnections()
	w.server.metrics.viewAge.Update(w.server.storeView.age(time.Now()).Seconds())
	w.server.metrics.usableEndpoints.Update(float64(w.server.deps.Fleet.Usable()))
	w.server.metrics.limitsInEffect.Update(float64(w.server.deps.Fleet.LimitedEndpoints(time.Now())))
}

// waitForNextWatch waits until the next watch is due: after the watch interval, or later while the messages of relays
// keep the view recent, or at once when requestWatch is called.
func (w *storeWatcher) waitForNextWatch(ctx context.Context, started time.Time) {
	interval := w.server.settings().Bounds.watchInterval()
	if w.server.isRelay() {
		interval = w.server.relayWatchInterval()
	}
	for {
		wait := time.NewTimer(max(interval-time.Since(started), time.Millisecond))
		select {
		case <-ctx.Done():
		case <-w.server.watchRequested:
			wait.Stop()
			return
		case <-wait.C:
		}
		wait.Stop()
		if ctx.Err() != nil || !w.server.reliesOnRelays(time.Now()) {
			return
		}
		started = w.server.storeView.lastComplete()
		w.afterWatch()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// relayPollInterval is the time between two checks whether a relay has reported changes.
const relayPollInterval = 50 * time.Millisecond

// resumeAfterRelay waits for a relay to report the changes that the store has compacted, and then starts a watch after
// them. It returns false if this instance must read all entries: without relays, or when its view is older than the relays
// need to read the entries. If all instances read them at once, they fill the links between them and the store.
func (w *storeWatcher) resumeAfterRelay(ctx context.Context) bool {
	maxAge := w.server.settings().Bounds.watchInterval() + w.server.relayWatchInterval()
	for ctx.Err() == nil && !w.newEra && w.server.hasRelays() && w.server.storeView.age(time.Now()) < maxAge {
		if kvstore.Revision(w.server.storeView.revision.Load()) > w.seenRevision {
			return w.skipRelayed(ctx) == nil
		}
		sleep(ctx, relayPollInterval)
	}
	return false
}

// readAll replaces the view by all present entries of the store and starts a new watch.
func (w *storeWatcher) readAll(ctx context.Context) bool {
	before := w.server.storeView.revision.Load()
	started := time.Now()
	items, seenRevision, err := w.store.Range(ctx, "")
	if err != nil {
		w.recordFailure(err)
		return false
	}
	w.recordSuccess()
	w.server.viewMu.Lock()
	defer w.server.viewMu.Unlock()
	known := w.server.storeView.revision.Load()
	if known > before && int64(seenRevision) < known {
		// A relay has reported newer changes while the entries were read.
		return false
	}
	w.newEra = false
	if isNewEra(known, int64(seenRevision)) {
		w.beginEra(seenRevision)
	}
	w.server.changeLog.recordGap(known, int64(seenRevision))
	present := make(map[string]bool, len(items))
	for i := range items {
		present[items[i].Key] = true
		w.applyPut(&items[i])
	}
	for _, id := range w.server.deps.Fleet.IDs() {
		if !present[w.server.deps.EntryDecoder.EndpointPrefix+id] {
			w.withdraw(id, seenRevision)
		}
	}
	for _, name := range w.server.instances.names() {
		if !present[instancePrefix+name] {
			w.removeInstance(name)
		}
	}
	if !present[placementKey] {
		w.server.instances.setHolderWithoutPrevious("", time.Now())
	}
	w.server.instances.forgetPrevious()
	w.seenRevision = seenRevision
	w.server.recordRevision(int64(seenRevision), time.Now())
	w.server.storeView.recordComplete(started)
	w.watch, err = w.store.Watch(ctx, "", seenRevision+1)
	if err != nil {
		w.recordFailure(err)
		return false
	}
	w.server.log.Info("store read", zap.Int("entries", len(items)), zap.Int64("revision", int64(seenRevision)))
	w.justRead = true
	w.sendUpdate()
	return true
}

// beginEra prepares for entries of a store that was restored from an older copy. What was written since that copy is gone
// until it is written again: endpoints whose entries are missing are kept for some time, and those that were leaving keep
// leaving. This instance's own entries and leases may be gone, too. The caller holds the server's viewMu.
func (w *storeWatcher) beginEra(revision kvstore.Revision) {
	now := time.Now()
	w.server.log.Warn("store restored from an older copy; reading all entries", zap.Int64("era", revision.Era()),
		zap.Int64("revision", revision.WithinEra()), zap.Int64("formerRevision", w.seenRevision.WithinEra()))
	w.server.metrics.storeRestores.Inc(1)
	w.graceEnd = now.Add(fleet.ReappearGrace)
	w.server.deps.Fleet.KeepLeaving(now)
	if start, err := kvstore.RevisionInEra(revision.Era(), 0); err == nil {
		w.server.lease.EndBefore(start)
	}
	w.server.requestRegistration()
	w.server.origins.requestCheck()
}

// watchOnce applies the changes since the last watch. It returns false if the caller should pause before the next
// attempt.
func (w *storeWatcher) watchOnce(ctx context.Context) bool {
	if err := w.skipRelayed(ctx); err != nil {
		w.recordFailure(err)
		return false
	}
	started := time.Now()
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	events, err := w.watch.Next(call)
	switch {
	case errors.Is(err, kvstore.ErrNewEra):
		w.recordSuccess()
		w.watch.Close()
		w.watch, w.newEra = nil, true
		return !w.justRead
	case errors.Is(err, kvstore.ErrCompacted), errors.Is(err, kvstore.ErrChangesTooLarge):
		return w.endWatch(err)
	case ctx.Err() != nil:
		return false
	case err != nil:
		w.recordFailure(err)
		if time.Since(started) >= longReplyTime {
			return w.endWatch(err)
		}
		return false
	}
	w.recordSuccess()
	w.justRead = false
	w.applyAll(events, started)
	w.sendUpdate()
	return true
}

// endWatch ends a watch that cannot succeed, so that all entries are read next. It returns false if the caller should pause
// before that, because all entries were read just before.
func (w *storeWatcher) endWatch(cause error) bool {
	w.server.log.Info("store history cannot be read; reading all entries", zap.Error(cause), zap.Int64("revision", int64(w.seenRevision)),
		zap.Duration("viewAge", w.server.storeView.age(time.Now())))
	w.watch.Close()
	w.watch = nil
	return !w.justRead
}

// sendUpdate sends changes to the instances that depend on this one, if it is a relay.
func (w *storeWatcher) sendUpdate() {
	if w.server.isRelay() {
		w.server.exchange.SendUpdate()
	}
}

// skipRelayed restarts the watch after the revision that relays have reported, if that is newer.
func (w *storeWatcher) skipRelayed(ctx context.Context) error {
	known := kvstore.Revision(w.server.storeView.revision.Load())
	if known <= w.seenRevision {
		return nil
	}
	watch, err := w.store.Watch(ctx, "", known+1)
	if err != nil {
		return err
	}
	if w.watch != nil {
		w.watch.Close()
	}
	w.watch, w.seenRevision = watch, known
	return nil
}

// applyAll applies the changes that one watch, called at started, returned.
func (w *storeWatcher) applyAll(events []kvstore.Event, started time.Time) {
	w.server.viewMu.Lock()
	defer w.server.viewMu.Unlock()
	known := w.server.storeView.revision.Load()
	for i := range events {
		w.seenRevision = max(w.seenRevision, events[i].ModRevision)
		// A relay may have reported a newer state in the meantime.
		if int64(events[i].ModRevision) > known {
			w.apply(&events[i])
		}
	}
	if int64(w.seenRevision) > known {
		w.server.recordRevision(int64(w.seenRevision), time.Now())
	}
	w.server.storeView.recordComplete(started)
}

func (w *storeWatcher) apply(event *kvstore.Event) {
	if !event.Deleted {
		w.applyPut(&event.KeyValue)
		return
	}
	if id, found := strings.CutPrefix(event.Key, w.server.deps.EntryDecoder.EndpointPrefix); found {
		w.withdraw(id, event.ModRevision)
		return
	}
	if name, found := strings.CutPrefix(event.Key, instancePrefix); found {
		w.removeInstance(name)
		return
	}
	if event.Key == placementKey {
		w.server.instances.setHolder(holderTerm{}, time.Now())
	}
}

func (w *storeWatcher) applyPut(item *kvstore.KeyValue) {
	if item.Key == w.server.deps.EntryDecoder.ConfigKey {
		w.putConfig(item)
		return
	}
	if id, found := strings.CutPrefix(item.Key, w.server.deps.EntryDecoder.EndpointPrefix); found {
		w.putEndpoint(id, item)
		return
	}
	if name, found := strings.CutPrefix(item.Key, instancePrefix); found {
		w.putInstance(name, item)
		return
	}
	if strings.HasPrefix(item.Key, originPrefix) {
		w.server.origins.apply(item, time.Now())
		return
	}
	if item.Key == placementKey {
		holder, _, _ := strings.Cut(string(item.Value), " ")
		w.server.instances.setHolder(holderTerm{holder, int64(item.CreateRevision)}, time.Now())
	}
}

func (w *storeWatcher) putConfig(item *kvstore.KeyValue) {
	w.server.applyConfigEntry(item.Value, int64(item.ModRevision), "", time.Now())
}

func (w *storeWatcher) putEndpoint(id string, item *kvstore.KeyValue) {
	if w.server.storeView.endpointsReflect(int64(item.ModRevision)) {
		return
	}
	announcement, err := w.server.deps.EntryDecoder.Endpoint(id, item.Value)
	if err != nil {
		w.server.log.Info("endpoint entry cannot be decoded", zap.Error(err), zap.Int64("revision", int64(item.ModRevision)))
		w.withdraw(id, item.ModRevision)
		return
	}
	w.server.applyAnnouncement(announcement, int64(item.ModRevision), "", time.Now())
}

// withdraw withdraws an endpoint that the store does not list as of a revision, or whose entry cannot be decoded.
func (w *storeWatcher) withdraw(id string, revision kvstore.Revision) {
	if w.server.storeView.endpointsReflect(int64(revision)) {
		return
	}
	w.server.withdrawEndpoint(id, w.graceEnd, int64(revision), "", time.Now())
}

func (w *storeWatcher) expireEndpoints() {
	w.server.viewMu.Lock()
	defer w.server.viewMu.Unlock()
	now := time.Now()
	for _, id := range w.server.deps.Fleet.Expire(now) {
		w.server.changeLog.endpoints.recordRemoval(id, now)
		w.server.log.Info("endpoint gone: not announced again after the outage of the store", zap.String("endpoint", id))
	}
}

func (w *storeWatcher) putInstance(name string, item *kvstore.KeyValue) {
	var doc exchange.InstanceDoc
	if err := json.Unmarshal(item.Value, &doc); err != nil {
		w.server.log.Warn("instance entry cannot be decoded", zap.String("instance", name), zap.Error(err))
		return
	}
	if name == w.server.settings().InstanceID && !w.server.instances.has(name) {
		w.server.recordOwnEntry(item)
	}
	w.server.instances.put(name, doc)
	w.server.changeLog.instances.recordChange(name, time.Now())
}

func (w *storeWatcher) removeInstance(name string) {
	w.server.instances.remove(name)
	w.server.changeLog.instances.recordRemoval(name, time.Now())
}

// recordFailure records a failed call of the store. It logs the first one of an outage, and one each failureLogInterval.
func (w *storeWatcher) recordFailure(err error) {
	now := time.Now()
	age := w.server.storeView.age(now)
	w.failures++
	w.server.metrics.storeFailures.Inc(1)
	w.server.metrics.viewAge.Update(age.Seconds())
	fields := []zap.Field{zap.Error(err), zap.Int64("revision", int64(w.seenRevision)), zap.Duration("viewAge", age)}
	switch {
	case w.unreachableSince.IsZero():
		w.unreachableSince = now
		w.server.storeView.setUnreachable(now)
		w.server.metrics.storeOutages.Inc(1)
		w.server.log.Warn("store lost; the last view stays in use", fields...)
	case now.Sub(w.failureLoggedAt) >= failureLogInterval:
		w.server.log.Warn("store still lost", append(fields, zap.Int("failures", w.failures))...)
	default:
		return
	}
	w.failureLoggedAt = now
}

// failureLogInterval is the time between two log lines about calls that fail in one outage.
const failureLogInterval = 5 * time.Second

func (w *storeWatcher) recordSuccess() {
	if w.unreachableSince.IsZero() {
		return
	}
	w.server.log.Info("store regained", zap.Duration("after", time.Since(w.unreachableSince)), zap.Int("failures", w.failures),
		zap.Duration("viewAge", w.server.storeView.age(time.Now())))
	w.unreachableSince, w.failures = time.Time{}, 0
	w.server.storeView.setReachable()
	w.graceEnd = time.Now().Add(fleet.ReappearGrace)
}
