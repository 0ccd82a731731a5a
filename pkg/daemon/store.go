package daemon

import (
	"context"
	"time"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// contactStore notes each successful call of the key-value store. Peers learn from the age of the last contact whether
// this instance can act as a relay.
type contactStore struct {
	kvstore.Store
	contact func()
}

var _ kvstore.Store = contactStore{}

func (s contactStore) note(err error) {
	if err == nil {
		s.contact()
	}
}

// Get implements kvstore.Reader.
func (s contactStore) Get(ctx context.Context, key string) (kvstore.KeyValue, bool, kvstore.Revision, error) {
	kv, found, at, err := s.Store.Get(ctx, key)
	s.note(err)
	return kv, found, at, err
}

// Commit implements kvstore.Writer.
func (s contactStore) Commit(ctx context.Context, writes []kvstore.ConditionalWrite) ([]kvstore.WriteResult, error) {
	results, err := s.Store.Commit(ctx, writes)
	s.note(err)
	return results, err
}

// KeepAlive implements kvstore.Leaser.
func (s contactStore) KeepAlive(ctx context.Context, id kvstore.LeaseID) (time.Duration, error) {
	ttl, err := s.Store.KeepAlive(ctx, id)
	s.note(err)
	return ttl, err
}
