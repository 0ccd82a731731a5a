package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

const (
	// AnswerWindow is how long a response is replayed.
	AnswerWindow = 24 * time.Hour
	// ClaimWindow is how long a key stays claimed.
	ClaimWindow = 400 * 24 * time.Hour
	// answerPeriod and claimPeriod are how long one lease is used for new keys. The lease lives for the window and the
	// period, is never renewed, and outlives the instance.
	answerPeriod = time.Hour
	claimPeriod  = 24 * time.Hour
)

// periodLeases grants one store lease per kind and period, when it is first needed.
type periodLeases struct {
	store kvstore.Leaser
	// slots is a channel of one element that serves as the lock, so that waiting for a grant in progress ends with the
	// context.
	slots chan [2]leaseSlot
}

func newPeriodLeases(store kvstore.Leaser) *periodLeases {
	l := &periodLeases{store: store, slots: make(chan [2]leaseSlot, 1)}
	l.slots <- [2]leaseSlot{}
	return l
}

type leaseSlot struct {
	id      kvstore.LeaseID
	granted time.Time
}

func (l *periodLeases) get(ctx context.Context, kind leaseKind) (kvstore.LeaseID, error) {
	window, period := ClaimWindow, claimPeriod
	if kind == answerLease {
		window, period = AnswerWindow, answerPeriod
	}
	var slots [2]leaseSlot
	select {
	case slots = <-l.slots:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	defer func() { l.slots <- slots }()
	slot := slots[kind]
	if slot.id != 0 && time.Since(slot.granted) < period {
		return slot.id, nil
	}
	granted := time.Now()
	id, ttl, err := l.store.Grant(ctx, window+period)
	if err != nil {
		return 0, err
	}
	if ttl < window+period {
		return 0, errors.Newf("store granted a lease of %s instead of %s", ttl, window+period)
	}
	slots[kind] = leaseSlot{id: id, granted: granted}
	return id, nil
}

// forget drops the leases after the store reported one as missing.
func (l *periodLeases) forget() {
	<-l.slots
	l.slots <- [2]leaseSlot{}
}
