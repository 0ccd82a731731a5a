// Package lease holds a key of the key-value store under a store lease and tells locally, by a monotonic clock, whether
// the key is still held.
package lease

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/mulberryglade/mulberryglade/internal/timing"
	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// Defaults of Options.
const (
	// DefaultTTL is the time after which another instance takes over from one that died.
	DefaultTTL = 10 * time.Second
	// marginDivisor gives a safety margin of a fifth of the TTL. It covers clock rates that differ between the instance
	// and the store, and the time between asking Held and acting on it.
	marginDivisor = 5
	// renewDivisor leaves two more attempts when a renewal fails.
	renewDivisor = 3
	// retryDivisor is the pause after a failed renewal or acquisition, as a part of the TTL.
	retryDivisor = 10
	// pollDivisor is the pause between looks at a key that another instance holds, as a part of the TTL.
	pollDivisor = 2
)

// Store is the part of the key-value store that a Holder uses.
type Store interface {
	kvstore.Reader
	kvstore.Writer
	kvstore.Leaser
}

// Options are the parameters of New.
type Options struct {
	Store Store
	// Key is held by at most one Holder at a time.
	Key string
	// Identity names the instance in the stored value, for operators.
	Identity string
	// TTL is the time to live of the lease; zero means DefaultTTL.
	TTL time.Duration
	// SafetyMargin ends the local holding earlier than the store's; zero means a fifth of the TTL.
	SafetyMargin time.Duration
	// Eligible is asked before each attempt to acquire; nil means always. An instance that is not eligible makes no call
	// to the store, so that the number of instances that poll one key can be bounded.
	Eligible func() bool
	Log      *zap.Logger
	Scope    tally.Scope
}

// Token proves a holding to the store.
type Token struct {
	Key string
	// Revision is the create revision of the key. It identifies the holding: a key that was released, expired or taken
	// over has another one.
	Revision kvstore.Revision
}

// Condition must be part of every write that only the holder may make. A former holder's write then never applies.
func (t Token) Condition() kvstore.Condition {
	return kvstore.Condition{Key: t.Key, Field: kvstore.CreateRevision, Equals: t.Revision}
}

// Holder acquires and renews the lease in Run. Held may be called from any goroutine.
type Holder struct {
	options Options
	current atomic.Pointer[holding]
}

type holding struct {
	token    Token
	lease    kvstore.LeaseID
	deadline time.Time
	// bootDeadline is the same time after the start of the machine, counting time in which the machine was suspended, which
	// deadline does not.
	bootDeadline time.Duration
}

// newHolding returns a holding that ends a time after the renewal was sent.
func newHolding(token Token, id kvstore.LeaseID, sent time.Time, sentBoot, lasts time.Duration) *holding {
	return &holding{token: token, lease: id, deadline: sent.Add(lasts), bootDeadline: sentBoot + lasts}
}

// New returns a Holder that holds nothing until Run is called.
func New(o Options) *Holder {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.SafetyMargin <= 0 {
		o.SafetyMargin = o.TTL / marginDivisor
	}
	if o.Eligible == nil {
		o.Eligible = func() bool { return true }
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Log = o.Log.With(zap.String("leaseKey", o.Key))
	o.Scope = o.Scope.SubScope("lease")
	return &Holder{options: o}
}

// Held returns the token and true until the local deadline: the time before the last successful renewal was sent, plus
// the granted time to live, minus the safety margin. The deadline counts time in which the machine was suspended and needs no running
// goroutine, so a holder that was paused sees that its time is up.
func (h *Holder) Held() (Token, bool) {
	held := h.current.Load()
	if held == nil || !time.Now().Before(held.deadline) || timing.SinceBoot() >= held.bootDeadline {
		return Token{}, false
	}
	return held.token, true
}

// Run acquires and renews until the context ends, then releases. It returns nil.
func (h *Holder) Run(ctx context.Context) error {
	defer h.release()
	for ctx.Err() == nil {
		if h.current.Load() == nil {
			_ = timing.Sleep(ctx, h.acquire(ctx))
			continue
		}
		_ = timing.Sleep(ctx, h.renew(ctx))
	}
	return nil
}

// acquire makes one attempt and returns the time until the next step.
func (h *Holder) acquire(ctx context.Context) time.Duration {
	retry := timing.Jitter(h.options.TTL / retryDivisor)
	poll := timing.Jitter(h.options.TTL / pollDivisor)
	if !h.options.Eligible() {
		return poll
	}
	_, taken, _, err := h.options.Store.Get(ctx, h.options.Key)
	if err != nil {
		return retry
	}
	if taken {
		return poll
	}
	sent, sentBoot := time.Now(), timing.SinceBoot()
	id, ttl, err := h.options.Store.Grant(ctx, h.options.TTL)
	if err != nil {
		return retry
	}
	revision, err := h.create(ctx, id)
	if err != nil {
		h.options.Log.Info("lease not acquired", zap.Error(err))
		// A create that is still on its way then fails, because its lease is gone.
		h.revoke(id)
		return retry
	}
	token := Token{Key: h.options.Key, Revision: revision}
	h.current.Store(newHolding(token, id, sent, sentBoot, ttl-h.options.SafetyMargin))
	h.options.Scope.Counter("acquired").Inc(1)
	h.options.Log.Info("lease acquired", zap.Int64("revision", int64(revision)))
	return h.options.TTL / renewDivisor
}

var errTaken = errors.New("key is held by another instance")

// create writes the key if it does not exist. After a lost reply it reads the key back and compares the value, which is
// unique to this attempt.
func (h *Holder) create(ctx context.Context, id kvstore.LeaseID) (kvstore.Revision, error) {
	value := []byte(h.options.Identity + " " + uuid.NewString())
	write := kvstore.ConditionalWrite{
		Conditions: []kvstore.Condition{{Key: h.options.Key, Field: kvstore.CreateRevision}},
		Puts:       []kvstore.Put{{Key: h.options.Key, Value: value, Lease: id}},
	}
	results, err := h.options.Store.Commit(ctx, []kvstore.ConditionalWrite{write})
	if errors.Is(err, kvstore.ErrOutcomeUnknown) {
		return h.readBack(ctx, value)
	}
	if err != nil {
		return 0, err
	}
	if !results[0].Applied {
		return 0, errTaken
	}
	return results[0].Revision, nil
}

func (h *Holder) readBack(ctx context.Context, value []byte) (kvstore.Revision, error) {
	kv, found, _, err := h.options.Store.Get(ctx, h.options.Key)
	if err != nil {
		return 0, err
	}
	if !found {
		return 0, errors.New("create has not taken effect")
	}
	if !bytes.Equal(kv.Value, value) {
		return 0, errTaken
	}
	return kv.CreateRevision, nil
}

// renew makes one attempt and returns the time until the next step. A renewal that succeeds after the local deadline
// proves that the lease never expired, so the holding continues under the same token.
func (h *Holder) renew(ctx context.Context) time.Duration {
	held := h.current.Load()
	interval := h.options.TTL / renewDivisor
	call, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	sent, sentBoot := time.Now(), timing.SinceBoot()
	ttl, err := h.options.Store.KeepAlive(call, held.lease)
	switch {
	case err == nil:
		h.current.Store(newHolding(held.token, held.lease, sent, sentBoot, ttl-h.options.SafetyMargin))
		return interval - min(interval, time.Since(sent))
	case errors.Is(err, kvstore.ErrLeaseNotFound):
		h.current.Store(nil)
		h.options.Scope.Counter("lost").Inc(1)
		h.options.Log.Warn("lease expired at the store")
		return 0
	default:
		h.options.Scope.Counter("renewal_failures").Inc(1)
		return timing.Jitter(h.options.TTL / retryDivisor)
	}
}

// release gives up the holding locally before it tells the store.
func (h *Holder) release() {
	held := h.current.Swap(nil)
	if held != nil {
		h.revoke(held.lease)
	}
}

// revoke is best effort: a lease that remains expires by itself.
func (h *Holder) revoke(id kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), h.options.TTL/renewDivisor)
	defer cancel()
	if err := h.options.Store.Revoke(ctx, id); err != nil {
		h.options.Log.Info("lease not revoked", zap.Error(err))
	}
}
