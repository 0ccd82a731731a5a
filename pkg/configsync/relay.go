package configsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// runRelay watches the store while this instance is a relay.
func (s *Syncer) runRelay(ctx context.Context) {
	for ctx.Err() == nil {
		relay, changed := s.relayState()
		if !relay {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		s.watchStoreUntil(ctx, changed)
	}
}

func (s *Syncer) relayState() (bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relay, s.relayChanged
}

// watchStoreUntil watches the store until the channel is closed or the context ends.
func (s *Syncer) watchStoreUntil(ctx context.Context, stop <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	group.Go(func() {
		select {
		case <-ctx.Done():
		case <-stop:
			cancel()
		}
	})
	delay := retryInterval
	for ctx.Err() == nil {
		revision, ok := s.poll(ctx)
		if ok {
			delay = retryInterval
			s.watch(ctx, revision+1)
		}
		_ = timing.Sleep(ctx, timing.Jitter(delay))
		delay = min(2*delay, maxRetryInterval)
	}
}

// poll reads the configuration from the store and puts it into effect. It returns the store's revision at the read, and
// false when the read failed.
func (s *Syncer) poll(ctx context.Context) (kvstore.Revision, bool) {
	readCtx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	contents, err := s.reader.Read(readCtx, s.currentContents())
	if errors.Is(err, configstore.ErrNoHead) {
		s.RecordStoreContact()
		return contents.StoreRevision(), true
	}
	if err != nil {
		// A read that was cancelled because the instance stops or is no longer a relay is not a store failure.
		if ctx.Err() == nil {
			s.scope.Counter("store_read_failures").Inc(1)
			s.log.Warn("configuration could not be read from the store", zap.Error(err))
		}
		return 0, false
	}
	s.RecordStoreContact()
	if !s.install(contents, "store") {
		s.logOlderHead(contents.Head.Revision)
	}
	return contents.StoreRevision(), true
}

// logOlderHead logs once that the store has an older head than the one in effect, for example after it was restored
// from a backup.
func (s *Syncer) logOlderHead(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ignoredRevision == revision {
		return
	}
	s.ignoredRevision = revision
	s.log.Error("the store has an older configuration than the one in effect; it is ignored",
		zap.Int64("storeRevision", revision), zap.Int64("revision", s.revision()))
}

// watch polls the store when the head changes and at every poll interval, until the watch breaks or the context ends.
func (s *Syncer) watch(ctx context.Context, from kvstore.Revision) {
	watch, err := s.options.Store.Watch(ctx, s.reader.HeadKey(), from)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	changes := make(chan struct{})
	var group conc.WaitGroup
	defer group.Wait()
	defer watch.Close()
	defer cancel()
	group.Go(func() { s.forwardChanges(ctx, watch, changes) })
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case _, open := <-changes:
			if !open {
				return
			}
		}
		s.poll(ctx)
	}
}

// forwardChanges sends a signal for each batch of head changes and closes the channel when the watch breaks or the
// context ends.
func (s *Syncer) forwardChanges(ctx context.Context, watch kvstore.Watch, changes chan<- struct{}) {
	defer close(changes)
	for {
		events, err := watch.Next(ctx)
		if err != nil {
			return
		}
		s.RecordStoreContact()
		if len(events) == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case changes <- struct{}{}:
		}
	}
}
