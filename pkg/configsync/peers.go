package configsync

import (
	"context"
	"math/rand/v2"
	"sort"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/configstore"
)

// Announce tells that a peer has a head revision in effect. Peers announce again with each exchange.
func (s *Syncer) Announce(peer string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision() {
		delete(s.announced, peer)
		return
	}
	s.announced[peer] = revision
	s.learn(revision)
	select {
	case s.wakePeers <- struct{}{}:
	default:
	}
}

// Forget drops the announcement of a peer that left.
func (s *Syncer) Forget(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.announced, peer)
}

// runPeers fetches newer configurations from the peers that announce them.
func (s *Syncer) runPeers(ctx context.Context) {
	for ctx.Err() == nil {
		peer, ok := s.bestPeer()
		if !ok {
			select {
			case <-ctx.Done():
			case <-s.wakePeers:
			}
			continue
		}
		if err := s.fetch(ctx, peer); err != nil && ctx.Err() == nil {
			s.scope.Counter("peer_fetch_failures").Inc(1)
			s.log.Warn("configuration could not be fetched from a peer", zap.String("peer", peer), zap.Error(err))
			_ = timing.Sleep(ctx, retryInterval)
		}
	}
}

// bestPeer takes the announcement of one of the peers with the highest revision above the one in effect, chosen at
// random so that a change spreads the load of its fetches. A taken announcement does not count again until the peer
// repeats it.
func (s *Syncer) bestPeer() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := s.revision()
	var best []string
	for peer, revision := range s.announced {
		switch {
		case revision > highest:
			highest = revision
			best = []string{peer}
		case revision == highest && len(best) > 0:
			best = append(best, peer)
		}
	}
	if len(best) == 0 {
		return "", false
	}
	sort.Strings(best)
	peer := best[rand.IntN(len(best))]
	delete(s.announced, peer)
	return peer, true
}

// fetch takes the configuration of one peer and verifies it.
func (s *Syncer) fetch(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	present := s.current()
	head, revision, bundles, err := s.options.Peers.Fetch(ctx, peer, s.Revision(), present.Digests())
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	if len(head) == 0 {
		return nil
	}
	contents, err := configstore.NewContents(head, bundles, present)
	if err != nil {
		return err
	}
	if contents.Head.Revision != revision {
		return errors.Newf("the peer announced revision %d and sent revision %d", revision, contents.Head.Revision)
	}
	s.install(contents, "peer "+peer)
	return nil
}
