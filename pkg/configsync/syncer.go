// Package configsync keeps the configuration of an instance current. A relay follows the head in the store; every other
// instance learns head revisions from peers and fetches what it lacks from them. The configuration in effect only ever
// moves to a higher revision.
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
	// pollInterval is how often a relay reads the head besides its watch. It is well below the 5 s after which a relay
	// without store contact is replaced, and bounds the delay that a silently broken watch causes.
	pollInterval = 2 * time.Second
	// retryInterval is the wait after a failed read, a broken watch or when no peer could deliver.
	retryInterval = 500 * time.Millisecond
	// maxRetryInterval bounds the wait between reads during an outage, in which more and more instances become relays.
	maxRetryInterval = 4 * time.Second
	// storeReadTimeout bounds one read of the head and its new bundles.
	storeReadTimeout = 10 * time.Second
	// peerFetchTimeout bounds one fetch; another peer is tried after it.
	peerFetchTimeout = 5 * time.Second
	// maxLoggedFindings bounds the log lines of one configuration.
	maxLoggedFindings = 20
)

// Store is the part of the key-value service that a relay needs.
type Store interface {
	kvstore.Reader
	kvstore.Watcher
}

// PeerSource fetches configurations from peers.
type PeerSource interface {
	// Fetch returns the head that the peer has in effect, its revision, and the bundles of that head that are not in
	// have. The head is empty when the peer has nothing above knownRevision. The receiver verifies all of it.
	Fetch(ctx context.Context, peer string, knownRevision int64, have []string) (
		head []byte, revision int64, bundles []configstore.Bundle, err error)
}

// Options of a Syncer. Store and Peers are required.
type Options struct {
	Store Store
	// Prefix begins every key of the deployment.
	Prefix string
	Peers  PeerSource
	// ReaderVersion is the newest schema version that this reader knows; zero means config.NewestSchemaVersion.
	ReaderVersion int
	// Log and Scope may be nil.
	Log   *zap.Logger
	Scope tally.Scope
}

// Syncer keeps the configuration in effect. It is safe for concurrent use.
type Syncer struct {
	options Options
	reader  *configstore.Reader
	log     *zap.Logger
	scope   tally.Scope
	started time.Time

	// wakePeers has room for one signal: an announcement may be worth a fetch.
	wakePeers chan struct{}

	// installing is held while a newer configuration is prepared and put into effect.
	installing sync.Mutex

	mu       sync.Mutex
	contents *configstore.Contents
	snapshot *config.Snapshot
	found    []findings.Finding
	// changed is closed and replaced when another configuration comes into effect.
	changed chan struct{}
	relay   bool
	// relayChanged is closed and replaced when relay changes.
	relayChanged chan struct{}
	lastContact  time.Time
	// announced has the revision that each peer last announced.
	announced map[string]int64
	// newest is the highest revision heard of, and behindSince when it was first above the one in effect.
	newest      int64
	behindSince time.Time
	// refused is the last lower head revision seen in the store, so that it is logged once.
	refused int64
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
		options:      options,
		reader:       configstore.NewReader(options.Store, options.Prefix),
		log:          options.Log,
		scope:        options.Scope.SubScope("config"),
		started:      time.Now(),
		wakePeers:    make(chan struct{}, 1),
		changed:      make(chan struct{}),
		relayChanged: make(chan struct{}),
		announced:    make(map[string]int64),
	}
}

// Run follows the store and the peers until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { s.runRelay(ctx) })
	group.Go(func() { s.runPeers(ctx) })
	group.Wait()
}

// SetRelay starts or ends this instance's following of the store.
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

// Changed returns a channel that is closed when another configuration comes into effect. A caller takes the channel
// before it reads Current, so that it misses no change.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Findings returns the mistakes found in the records of the configuration in effect.
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

// CurrentHead returns what a peer needs that has the given revision and bundles: the stored head, its revision and the
// bundles that the peer lacks. The head is nil when there is nothing newer.
func (s *Syncer) CurrentHead(knownRevision int64, have []string) ([]byte, int64, []configstore.Bundle) {
	contents := s.current()
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

func (s *Syncer) current() *configstore.Contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents
}

// NoteStoreContact records a successful call to the store, also one of another component.
func (s *Syncer) NoteStoreContact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastContact = time.Now()
}

// StoreContactAge returns the time since the last successful call to the store, or since New when there was none.
func (s *Syncer) StoreContactAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastContact.IsZero() {
		return time.Since(s.started)
	}
	return time.Since(s.lastContact)
}

// Behind returns for how long a newer configuration than the one in effect has been known; zero when none is.
func (s *Syncer) Behind() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behindSince.IsZero() {
		return 0
	}
	return time.Since(s.behindSince)
}

// learn notes that a revision exists. The caller holds the lock.
func (s *Syncer) learn(revision int64) {
	s.newest = max(s.newest, revision)
	if s.newest > s.revision() && s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
}

// install puts contents into effect when they are newer. It reports whether they are in effect now. Building the
// snapshot takes long at design size, so readers of the present one are not kept waiting meanwhile.
func (s *Syncer) install(contents *configstore.Contents, source string) bool {
	s.installing.Lock()
	defer s.installing.Unlock()
	revision := contents.Head.Revision
	if present := s.Revision(); revision <= present {
		return revision == present
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
	if s.newest <= revision {
		s.newest = revision
		s.behindSince = time.Time{}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	s.report(source)
	return true
}

func (s *Syncer) report(source string) {
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
