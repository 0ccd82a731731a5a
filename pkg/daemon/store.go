package daemon

import (
	"context"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// contactStore calls onContact after each successful Get, Commit and KeepAlive. Peers receive the age of the last
// contact and decide by it whether this instance can act as a relay.
type contactStore struct {
	kvstore.Store
	onContact func()
}

var _ kvstore.Store = contactStore{}

func (s contactStore) observe(err error) {
	if err == nil {
		s.onContact()
	}
}

// Get implements kvstore.Reader.
func (s contactStore) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, kvstore.Revision, error) {
	kv, found, revision, err := s.Store.Get(ctx, key)
	s.observe(err)
	return kv, found, revision, err
}

// Commit implements kvstore.Writer.
func (s contactStore) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	results, err := s.Store.Commit(ctx, writes)
	s.observe(err)
	return results, err
}

// KeepAlive implements kvstore.Leaser.
func (s contactStore) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	ttl, err := s.Store.KeepAlive(ctx, id)
	s.observe(err)
	return ttl, err
}
