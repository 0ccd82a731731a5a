package lease

import (
	"context"
	"testing"
	"time"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Guards against a renewal that is under way while the holding is ended, and that takes it up again.
func TestRenewalDoesNotTakeUpAnEndedHolding(t *testing.T) {
	h := New(Options{Key: "k", TTL: time.Minute})
	token := Token{Key: "k", Revision: 50}
	h.current.Store(newHeldLease(token, 1, time.Now(), timing.SinceBoot(), time.Minute))
	h.options.Store = endingStore{during: func() { h.EndBefore(100) }}
	h.renew(context.Background())
	if _, held := h.Held(); held {
		t.Fatal("the lease is held again")
	}
}

// Guards against a holding that is ended although its token is recent.
func TestEndBeforeKeepsRecentHoldings(t *testing.T) {
	h := New(Options{Key: "k", TTL: time.Minute})
	h.current.Store(newHeldLease(Token{Key: "k", Revision: 100}, 1, time.Now(), timing.SinceBoot(), time.Minute))
	h.EndBefore(100)
	if _, held := h.Held(); !held {
		t.Fatal("a recent holding was ended")
	}
	h.EndBefore(101)
	if _, held := h.Held(); held {
		t.Fatal("an earlier holding was not ended")
	}
}

type endingStore struct {
	Store
	during func()
}

func (s endingStore) KeepAlive(context.Context, kvstore.LeaseID) (time.Duration, error) {
	s.during()
	return time.Minute, nil
}
