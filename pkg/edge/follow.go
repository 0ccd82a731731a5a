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

// Entries decodes what others write to the store.
type Entries struct {
	ConfigKey      string
	EndpointPrefix string
	Config         func(value []byte) (*routing.Config, error)
	Endpoint       func(id string, value []byte) (fleet.Announcement, error)
}

const (
	// ownPrefix begins the keys of this system.
	ownPrefix = "mulberryglade/"
	// instancePrefix begins the entries of the instances, each under its lease.
	instancePrefix = ownPrefix + "instances/"
	// placementKey is held by the instance that places models.
	placementKey = ownPrefix + "placement"

	// watchShare is the part of the time in which a change must be known that lies between two watches: entries change many
	// times a second, and each call is paid for. The rest is for a call that is lost and for the links.
	watchShare = 0.4
	// watchWait bounds one watch, so that a connection that has gone silent is noticed.
	watchWait = 2 * time.Second
	// retryPause is the time between attempts while the store does not answer.
	retryPause = 300 * time.Millisecond
	// outageGrace is how long after an outage removed entries are kept.
	outageGrace = 2 * time.Second
)

// follower keeps this instance's view of the store.
type follower struct {
	server *Server
	store  kvstore.Store
	// watch is nil until the store's whole content was read.
	watch kvstore.Watch
	// justRead is set from a read of the whole content to the next watch that succeeds.
	justRead bool
	// at is the newest revision seen.
	at kvstore.Revision
	// lostAt is the time of the first failed call; zero while the store answers.
	lostAt     time.Time
	graceUntil time.Time
}

// run follows the store until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if f.watch == nil && !f.readAll(ctx) {
			pause(ctx, retryPause)
			continue
		}
		started := time.Now()
		if !f.watchOnce(ctx) {
			pause(ctx, retryPause)
			continue
		}
		if f.watch == nil {
			// The history is gone: what has changed is read at once.
			continue
		}
		f.afterWatch()
		f.waitForNextWatch(ctx, started)
	}
}

// afterWatch does what follows each look at the store.
func (f *follower) afterWatch() {
	f.expire()
	f.server.limitIdleConnections()
	f.server.metrics.endpoints.Update(float64(f.server.parts.Fleet.Usable()))
}

// waitForNextWatch waits until this instance should look at the store again: after the usual pause, unless a relay of its
// data centre tells what changes.
func (f *follower) waitForNextWatch(ctx context.Context, started time.Time) {
	pauseTime := f.server.settings().Bounds.watchPause()
	if f.server.isRelay() {
		pauseTime = f.server.relayPause()
	}
	for {
		wait := time.NewTimer(max(pauseTime-time.Since(started), time.Millisecond))
		select {
		case <-ctx.Done():
		case <-f.server.watchNow:
			wait.Stop()
			return
		case <-wait.C:
		}
		wait.Stop()
		if ctx.Err() != nil || !f.server.leavesWatchToRelays(time.Now()) {
			return
		}
		started = f.server.news.lastHeard()
		f.afterWatch()
	}
}

func pause(ctx context.Context, d time.Duration) {
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

// readAll replaces the view by the store's present content.
func (f *follower) readAll(ctx context.Context) bool {
	before := f.server.storeView.revision.Load()
	items, at, err := f.store.Range(ctx, "")
	if err != nil {
		f.lost(err)
		return false
	}
	f.regained()
	f.server.viewMu.Lock()
	defer f.server.viewMu.Unlock()
	if known := f.server.storeView.revision.Load(); known > before && int64(at) < known {
		// A relay told more while the entries were read.
		return false
	}
	present := make(map[string]bool, len(items))
	for i := range items {
		present[items[i].Key] = true
		f.put(&items[i])
	}
	for _, id := range f.server.parts.Fleet.IDs() {
		if !present[f.server.parts.Entries.EndpointPrefix+id] {
			f.withdraw(id)
		}
	}
	for _, name := range f.server.members.names() {
		if !present[instancePrefix+name] {
			f.removeInstance(name)
		}
	}
	if !present[placementKey] {
		f.server.members.sawHolder("", time.Now())
	}
	f.server.members.forgetPrevious()
	f.at = at
	f.server.completeUpTo(int64(at), time.Now())
	f.watch, err = f.store.Watch(ctx, "", at+1)
	if err != nil {
		f.lost(err)
		return false
	}
	f.server.log.Info("store read", zap.Int("entries", len(items)), zap.Int64("revision", int64(at)))
	f.justRead = true
	f.tell()
	return true
}

// watchOnce applies the changes since the last call.
func (f *follower) watchOnce(ctx context.Context) bool {
	if err := f.skipRelayed(ctx); err != nil {
		f.lost(err)
		return false
	}
	call, cancel := context.WithTimeout(ctx, watchWait)
	defer cancel()
	events, err := f.watch.Next(call)
	switch {
	case errors.Is(err, kvstore.ErrCompacted):
		f.server.log.Info("store history is gone; reading all entries", zap.Int64("revision", int64(f.at)))
		f.watch.Close()
		f.watch = nil
		// A history that ends before what was just read is not read again without a pause.
		return !f.justRead
	case ctx.Err() != nil:
		return false
	case err != nil:
		f.lost(err)
		return false
	}
	f.regained()
	f.justRead = false
	f.applyAll(events)
	f.tell()
	return true
}

// tell lets those who rely on this instance know what it has just seen.
func (f *follower) tell() {
	if f.server.isRelay() {
		f.server.exchange.SendUpdate()
	}
}

// skipRelayed lets the next watch begin after what relays have told.
func (f *follower) skipRelayed(ctx context.Context) error {
	known := kvstore.Revision(f.server.storeView.revision.Load())
	if known <= f.at {
		return nil
	}
	watch, err := f.store.Watch(ctx, "", known+1)
	if err != nil {
		return err
	}
	f.watch.Close()
	f.watch, f.at = watch, known
	return nil
}

// applyAll takes over the changes of one look at the store.
func (f *follower) applyAll(events []kvstore.Event) {
	f.server.viewMu.Lock()
	defer f.server.viewMu.Unlock()
	known := f.server.storeView.revision.Load()
	for i := range events {
		f.at = max(f.at, events[i].ModRevision)
		// What a relay told meanwhile may be newer than the change.
		if int64(events[i].ModRevision) > known {
			f.apply(&events[i])
		}
	}
	if int64(f.at) > known {
		f.server.completeUpTo(int64(f.at), time.Now())
	}
}

func (f *follower) apply(event *kvstore.Event) {
	if !event.Deleted {
		f.put(&event.KeyValue)
		return
	}
	if id, found := strings.CutPrefix(event.Key, f.server.parts.Entries.EndpointPrefix); found {
		f.withdraw(id)
		return
	}
	if name, found := strings.CutPrefix(event.Key, instancePrefix); found {
		f.removeInstance(name)
		return
	}
	if event.Key == placementKey {
		f.server.members.setHolder(holding{}, time.Now())
	}
}

func (f *follower) put(item *kvstore.KeyValue) {
	if item.Key == f.server.parts.Entries.ConfigKey {
		f.putConfig(item)
		return
	}
	if id, found := strings.CutPrefix(item.Key, f.server.parts.Entries.EndpointPrefix); found {
		f.putEndpoint(id, item)
		return
	}
	if name, found := strings.CutPrefix(item.Key, instancePrefix); found {
		f.putInstance(name, item)
		return
	}
	if item.Key == placementKey {
		holder, _, _ := strings.Cut(string(item.Value), " ")
		f.server.members.setHolder(holding{holder, int64(item.CreateRevision)}, time.Now())
	}
}

func (f *follower) putConfig(item *kvstore.KeyValue) {
	f.server.takeConfig(item.Value, int64(item.ModRevision), "", time.Now())
}

func (f *follower) putEndpoint(id string, item *kvstore.KeyValue) {
	announcement, err := f.server.parts.Entries.Endpoint(id, item.Value)
	if err != nil {
		f.server.log.Info("entry names no endpoint", zap.Error(err), zap.Int64("revision", int64(item.ModRevision)))
		f.withdraw(id)
		return
	}
	f.server.announced(announcement, int64(item.ModRevision), "", time.Now())
}

// announced takes over an endpoint's announcement from the store, or from a relay that is named.
func (s *Server) announced(a fleet.Announcement, revision int64, from string, now time.Time) {
	change := s.parts.Fleet.Announce(a, now)
	if change != fleet.Unchanged {
		s.news.endpoints.changedAt(a.ID, now)
	}
	if change != fleet.Unchanged && change != fleet.Updated {
		s.log.Info("endpoint announced", zap.String("endpoint", a.ID), zap.String("service", a.Service),
			zap.String("address", a.Address), zap.Bool("leaving", a.Leaving), zap.Duration("removalIn", a.RemovalIn),
			zap.Int64("revision", revision), zap.String("from", from))
	}
}

func (f *follower) withdraw(id string) {
	now := time.Now()
	grace := now.Before(f.graceUntil)
	f.server.parts.Fleet.Withdraw(id, grace, now)
	if !grace {
		f.server.news.endpoints.goneAt(id, now)
	}
	f.server.log.Info("endpoint withdrawn", zap.String("endpoint", id), zap.Bool("grace", grace))
}

func (f *follower) expire() {
	f.server.viewMu.Lock()
	defer f.server.viewMu.Unlock()
	now := time.Now()
	for _, id := range f.server.parts.Fleet.Expire(now) {
		f.server.news.endpoints.goneAt(id, now)
		f.server.log.Info("endpoint gone: not announced again after the store's outage", zap.String("endpoint", id))
	}
}

func (f *follower) putInstance(name string, item *kvstore.KeyValue) {
	var doc exchange.InstanceDoc
	if err := json.Unmarshal(item.Value, &doc); err != nil {
		f.server.log.Warn("instance entry not readable", zap.String("instance", name), zap.Error(err))
		return
	}
	f.server.members.put(name, doc)
	f.server.news.instances.changedAt(name, time.Now())
}

func (f *follower) removeInstance(name string) {
	f.server.members.remove(name)
	f.server.news.instances.goneAt(name, time.Now())
}

// lost notes a failed call; only the first of an outage is logged.
func (f *follower) lost(err error) {
	if f.lostAt.IsZero() {
		f.lostAt = time.Now()
		f.server.storeView.lose(f.lostAt)
		f.server.metrics.storeLost.Inc(1)
		f.server.log.Warn("store lost; the last view stays in force", zap.Error(err), zap.Int64("revision", int64(f.at)))
	}
}

func (f *follower) regained() {
	if f.lostAt.IsZero() {
		return
	}
	f.server.log.Info("store regained", zap.Duration("after", time.Since(f.lostAt)))
	f.lostAt = time.Time{}
	f.server.storeView.regain()
	f.graceUntil = time.Now().Add(outageGrace)
}
