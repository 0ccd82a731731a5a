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

// Announce records the head revision that a peer has in effect. Each exchange with the peer announces it again.
func (s *Syncer) Announce(peer string, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision() {
		delete(s.announced, peer)
		return
	}
	s.announced[peer] = revision
	s.recordRevision(revision)
	select {
	case s.announcementReceived <- struct{}{}:
	default:
	}
}

// Forget drops the announcement of a peer that was removed.
func (s *Syncer) Forget(peer string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.announced, peer)
}

// runPeerFetches fetches newer configurations from the peers that announced them.
func (s *Syncer) runPeerFetches(ctx context.Context) {
	for ctx.Err() == nil {
		peer, ok := s.pickPeer()
		if !ok {
			select {
			case <-ctx.Done():
			case <-s.announcementReceived:
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

// pickPeer returns a peer that announced the highest revision above the one in effect. It chooses at random among
// several to spread the load of fetches. It removes the chosen peer's announcement, so that the peer is not chosen
// again until its next announcement.
func (s *Syncer) pickPeer() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := s.revision()
	var candidates []string
	for peer, revision := range s.announced {
		switch {
		case revision > highest:
			highest = revision
			candidates = []string{peer}
		case revision == highest && len(candidates) > 0:
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	sort.Strings(candidates)
	peer := candidates[rand.IntN(len(candidates))]
	delete(s.announced, peer)
	return peer, true
}

// fetch fetches the configuration of a peer, verifies it and puts it into effect.
func (s *Syncer) fetch(ctx context.Context, peer string) error {
	ctx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	inEffect := s.currentContents()
	head, revision, bundles, err := s.options.Peers.Fetch(ctx, peer, s.Revision(), inEffect.Digests())
	if err != nil {
		return errors.Wrap(err, "fetch")
	}
	if len(head) == 0 {
		return nil
	}
	contents, err := configstore.NewContents(head, bundles, inEffect)
	if err != nil {
		return err
	}
	if contents.Head.Revision != revision {
		return errors.Newf("the peer stated revision %d but sent a head with revision %d", revision, contents.Head.Revision)
	}
	s.install(contents, "peer "+peer)
	return nil
}
