package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

const (
	// ResponseWindow is the time for which a recorded response is replayed.
	ResponseWindow = 24 * time.Hour
	// ClaimWindow is the time for which a key stays claimed.
	ClaimWindow = 400 * 24 * time.Hour
	// responseLeasePeriod and claimLeasePeriod are the times for which one lease is used for new keys. The TTL of a
	// lease is the window plus the period. A lease is never renewed and remains valid when the instance exits.
	responseLeasePeriod = time.Hour
	claimLeasePeriod    = 24 * time.Hour
)

// periodLeases acquires one store lease per kind and period, on first use.
type periodLeases struct {
	store kvstore.Leaser
	// leases holds the current leases. It is a channel with one element that also serves as the lock, so that the
	// context can end the wait for a Grant call in progress.
	leases chan [2]periodLease
}

func newPeriodLeases(store kvstore.Leaser) *periodLeases {
	l := &periodLeases{store: store, leases: make(chan [2]periodLease, 1)}
	l.leases <- [2]periodLease{}
	return l
}

type periodLease struct {
	id        kvstore.LeaseID
	grantedAt time.Time
}

func (l *periodLeases) get(ctx context.Context, kind leaseKind) (kvstore.LeaseID, error) {
	window, period := ClaimWindow, claimLeasePeriod
	if kind == responseLease {
		window, period = ResponseWindow, responseLeasePeriod
	}
	var leases [2]periodLease
	select {
	case leases = <-l.leases:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { l.leases <- leases }()
	lease := leases[kind]
	if lease.id != 0 && time.Since(lease.grantedAt) < period {
		return lease.id, nil
	}
	grantedAt := time.Now()
	id, ttl, err := l.store.Grant(ctx, window+period)
	if err != nil {
		return 0, err
	}
	if ttl < window+period {
		return 0, errors.Newf("store granted a lease of %s, requested %s", ttl, window+period)
	}
	leases[kind] = periodLease{id: id, grantedAt: grantedAt}
	return id, nil
}

// reset discards the leases. It is called after the store has reported a lease as missing.
func (l *periodLeases) reset() {
	<-l.leases
	l.leases <- [2]periodLease{}
}
