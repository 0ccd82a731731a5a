// Package configsync keeps the configuration of an instance up to date. A relay watches the head in the store. Every
// other instance receives head revisions from peers and fetches missing content from them. The revision of the
// configuration in effect never decreases.
package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/pkg/config"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
	"github.com/mulberryglade/mulberryglade/pkg/findings"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

const (
	// pollInterval is the interval at which a relay reads the head in addition to its watch. It bounds the delay that a
	// silently broken watch causes. It is well below the 5 s after which a relay without store contact is replaced.
	pollInterval = 2 * time.Second
	// retryInterval is the wait after a failed read, a broken watch or a failed fetch from a peer.
	retryInterval = 500 * time.Millisecond
	// maxRetryInterval bounds the wait after repeated failures. The wait grows because more and more instances become
	// relays during an outage of the store.
	maxRetryInterval = 4 * time.Second
	// storeReadTimeout bounds one read of the head and its new bundles.
	storeReadTimeout = 10 * time.Second
	// peerFetchTimeout bounds one fetch from a peer. Another peer is tried after it.
	peerFetchTimeout = 5 * time.Second
	// maxLoggedFindings bounds the findings that are logged for one configuration.
	maxLoggedFindings = 20
)

// Store is the part of the key-value store that a relay needs.
type Store interface {
	kvstore.Reader
	kvstore.Watcher
}

// PeerSource fetches configurations from peers.
type PeerSource interface {
	// Fetch returns the head that the peer has in effect, its revision, and the bundles of that head whose digests are not
	// in have. The head is empty when the peer has no revision above knownRevision. The caller verifies the result.
	Fetch(ctx context.Context, peer string, knownRevision int64, have []string) (
		head []byte, revision int64, bundles []configstore.Bundle, err error)
}

// Options configure a Syncer. Store and Peers are required.
type Options struct {
	Store Store
	// Prefix is the prefix of every key of the deployment.
	Prefix string
	Peers  PeerSource
	// ReaderVersion is the newest schema version that this reader supports; zero means config.NewestSchemaVersion.
	ReaderVersion int
	// Log and Scope may be nil.
	Log   *zap.Logger
	Scope tally.Scope
}

// Syncer holds the configuration in effect and updates it. It is safe for concurrent use.
type Syncer struct {
	options   Options
	reader    *configstore.Reader
	log       *zap.Logger
	scope     tally.Scope
	startedAt time.Time

	// announcementReceived signals that a peer announced a newer revision, which may have to be fetched. Its buffer
	// holds one signal.
	announcementReceived chan struct{}

	// installMu serialises the preparation and installation of configurations.
	installMu sync.Mutex

	mu       sync.Mutex
	contents *configstore.Contents
	snapshot *config.Snapshot
	found    []findings.Finding
	// changed is closed and replaced when a new configuration takes effect.
	changed chan struct{}
	relay   bool
	// relayChanged is closed and replaced when relay changes.
	relayChanged     chan struct{}
	lastStoreContact time.Time
	// announced maps a peer to the last revision that it announced, if that was above the revision in effect.
	announced map[string]int64
	// newestKnown is the highest known revision. behindSince is the time at which newestKnown first exceeded the revision
	// in effect; zero while it does not.
	newestKnown int64
	behindSince time.Time
	// ignoredRevision is the last lower head revision read from the store. It is logged once.
	ignoredRevision int64
}

// New returns a syncer without a configuration. Run starts it.
func New(options Options) *Syncer {
	if options.ReaderVersion == 0 {
		options.ReaderVersion = config.NewestSchemaVersion
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Syncer{
		options:              options,
		reader:               configstore.NewReader(options.Store, options.Prefix),
		log:                  options.Log,
		scope:                options.Scope.SubScope("config"),
		startedAt:            time.Now(),
		announcementReceived: make(chan struct{}, 1),
		changed:              make(chan struct{}),
		relayChanged:         make(chan struct{}),
		announced:            make(map[string]int64),
	}
}

// Run keeps the configuration up to date from the store and from peers until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { s.runRelay(ctx) })
	group.Go(func() { s.runPeerFetches(ctx) })
	group.Wait()
}

// SetRelay sets whether this instance is a relay, which watches the store.
func (s *Syncer) SetRelay(relay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.relay == relay {
		return
	}
	s.relay = relay
	close(s.relayChanged)
	s.relayChanged = make(chan struct{})
}

// Current returns the configuration in effect; nil before the first one.
func (s *Syncer) Current() *config.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Changed returns a channel that is closed when a new configuration takes effect. To miss no change, call Changed
// before Current.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Findings returns the mistakes that were found in the bundles and records of the configuration in effect.
func (s *Syncer) Findings() []findings.Finding {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.found
}

// Revision returns the head revision in effect; zero before the first one.
func (s *Syncer) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision()
}

func (s *Syncer) revision() int64 {
	if s.contents == nil {
		return 0
	}
	return s.contents.Head.Revision
}

// CurrentHead returns the encoded head in effect, its revision and its bundles, for a peer that has knownRevision. It
// leaves out the bundles whose digests are in have. The head is nil when the revision in effect is not above
// knownRevision.
func (s *Syncer) CurrentHead(knownRevision int64, have []string) ([]byte, int64, []configstore.Bundle) {
	contents := s.currentContents()
	if contents == nil || contents.Head.Revision <= knownRevision {
		return nil, s.Revision(), nil
	}
	has := make(map[string]bool, len(have))
	for _, digest := range have {
		has[digest] = true
	}
	var bundles []configstore.Bundle
	for _, digest := range contents.Digests() {
		if !has[digest] {
			bundles = append(bundles, configstore.Bundle{Digest: digest, Content: contents.Bundles[digest]})
		}
	}
	return contents.HeadBytes, contents.Head.Revision, bundles
}

func (s *Syncer) currentContents() *configstore.Contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents
}

// RecordStoreContact records a successful call to the store. Other components call it after their own calls.
func (s *Syncer) RecordStoreContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStoreContact = time.Now()
}

// StoreContactAge returns the time since the last successful call to the store, or since New before the first one.
func (s *Syncer) StoreContactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastStoreContact.IsZero() {
		return time.Since(s.startedAt)
	}
	return time.Since(s.lastStoreContact)
}

// Behind returns how long this instance has known of a newer revision than the one in effect; zero when it knows none.
func (s *Syncer) Behind() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behindSince.IsZero() {
		return 0
	}
	return time.Since(s.behindSince)
}

// recordRevision records that a revision exists. The caller holds mu.
func (s *Syncer) recordRevision(revision int64) {
	s.newestKnown = max(s.newestKnown, revision)
	if s.newestKnown > s.revision() && s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
}

// install puts contents into effect if they are newer and reports whether their revision is now in effect. It builds
// the snapshot without holding mu: that takes long with thousands of records and must not block readers of the current
// snapshot.
func (s *Syncer) install(contents *configstore.Contents, source string) bool {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	revision := contents.Head.Revision
	if inEffect := s.Revision(); revision <= inEffect {
		return revision == inEffect
	}
	snapshot, found := config.BuildSnapshotAs(
		s.options.ReaderVersion, revision, contents.Head.CommittedAt(), contents.Records(), s.Current())
	found.Append(contents.Findings())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents = contents
	s.found = found.Items()
	if snapshot != nil {
		s.snapshot = snapshot
	}
	if s.newestKnown <= revision {
		s.newestKnown = revision
		s.behindSince = time.Time{}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.logInstalled(source)
	return true
}

// logInstalled updates the metrics and logs the installed configuration. The caller holds mu.
func (s *Syncer) logInstalled(source string) {
	head := s.contents.Head
	s.scope.Gauge("revision").Update(float64(head.Revision))
	s.scope.Gauge("findings").Update(float64(len(s.found)))
	s.log.Info("configuration in effect",
		zap.Int64("revision", head.Revision),
		zap.Time("committedAt", head.CommittedAt()),
		zap.String("source", source),
		zap.Int("findings", len(s.found)))
	for _, f := range s.found[:min(len(s.found), maxLoggedFindings)] {
		s.log.Warn("configuration record not in effect as stored", zap.String("finding", f.String()))
	}
}
