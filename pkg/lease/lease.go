// Package lease holds a key of the key-value store under a store lease. It determines locally, by a monotonic clock,
// whether the key is still held.
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
	// DefaultTTL is the time after which another instance takes over from a failed one.
	DefaultTTL = 10 * time.Second
	// marginDivisor sets the safety margin to a fifth of the TTL. The margin covers different clock rates of the
	// instance and the store, and the time between a call of Held and the action that depends on it.
	marginDivisor = 5
	// renewDivisor sets the renewal interval to a third of the TTL. This leaves two more attempts after a failed
	// renewal.
	renewDivisor = 3
	// retryDivisor sets the pause after a failed renewal or acquisition to a tenth of the TTL.
	retryDivisor = 10
	// pollDivisor sets the interval between checks of a key that another instance holds to half the TTL.
	pollDivisor = 2
)

// Store is the subset of the key-value store that a Holder uses.
type Store interface {
	kvstore.Reader
	kvstore.Writer
	kvstore.Leaser
}

// Options are the parameters of New.
type Options struct {
	Store Store
	// Key is the key to hold. At most one Holder holds it at a time.
	Key string
	// Identity names the instance in the stored value, as information for operators.
	Identity string
	// TTL is the time to live of the lease; zero means DefaultTTL.
	TTL time.Duration
	// SafetyMargin is how much earlier the lease ends locally than at the store; zero means a fifth of the TTL.
	SafetyMargin time.Duration
	// Eligible is called before each attempt to acquire; nil means always eligible. An instance that is not eligible
	// makes no call to the store. This bounds the number of instances that poll one key.
	Eligible func() bool
	Log      *zap.Logger
	Scope    tally.Scope
}

// Token proves to the store that the key is held.
type Token struct {
	Key string
	// Revision is the create revision of the key. It identifies one term of holding the key: after a release, expiry or
	// takeover the key has another create revision.
	Revision kvstore.Revision
}

// Condition must be part of every write that only the holder may make. A write of a previous holder is then never
// applied.
func (t Token) Condition() kvstore.Condition {
	return kvstore.Condition{Key: t.Key, Field: kvstore.CreateRevision, Equals: t.Revision}
}

// Holder acquires and renews the lease in Run. Held may be called from any goroutine.
type Holder struct {
	options Options
	current atomic.Pointer[heldLease]
}

type heldLease struct {
	token    Token
	lease    kvstore.LeaseID
	deadline time.Time
	// bootDeadline is the same deadline as time since boot. It counts time in which the machine was suspended; deadline
	// does not.
	bootDeadline time.Duration
}

// newHeldLease returns a lease whose local deadline is the given duration after the grant or renewal was sent.
func newHeldLease(token Token, id kvstore.LeaseID, sentAt time.Time, sentAtBoot, duration time.Duration) *heldLease {
	return &heldLease{token: token, lease: id, deadline: sentAt.Add(duration), bootDeadline: sentAtBoot + duration}
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

// Held returns the token and true until the local deadline. The deadline is the time before the last successful renewal
// was sent, plus the granted time to live, minus the safety margin. It counts time in which the machine was suspended
// and needs no running goroutine, so a paused holder detects that its lease has ended.
func (h *Holder) Held() (Token, bool) {
	held := h.current.Load()
	if held == nil || !time.Now().Before(held.deadline) || timing.SinceBoot() >= held.bootDeadline {
		return Token{}, false
	}
	return held.token, true
}

// Run acquires and renews the lease until the context ends, then releases it. It returns nil.
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

// acquire makes one attempt and returns the time until the next one, or until the first renewal.
func (h *Holder) acquire(ctx context.Context) time.Duration {
	retry := timing.Jitter(h.options.TTL / retryDivisor)
	poll := timing.Jitter(h.options.TTL / pollDivisor)
	if !h.options.Eligible() {
		return poll
	}
	_, heldByOther, _, err := h.options.Store.Get(ctx, h.options.Key)
	if err != nil {
		return retry
	}
	if heldByOther {
		return poll
	}
	sentAt, sentAtBoot := time.Now(), timing.SinceBoot()
	id, ttl, err := h.options.Store.Grant(ctx, h.options.TTL)
	if err != nil {
		return retry
	}
	revision, err := h.create(ctx, id)
	if err != nil {
		h.options.Log.Info("lease not acquired", zap.Error(err))
		// A create that is still in transit then fails, because its lease no longer exists.
		h.revoke(id)
		return retry
	}
	token := Token{Key: h.options.Key, Revision: revision}
	h.current.Store(newHeldLease(token, id, sentAt, sentAtBoot, ttl-h.options.SafetyMargin))
	h.options.Scope.Counter("acquired").Inc(1)
	h.options.Log.Info("lease acquired", zap.Int64("revision", int64(revision)))
	return h.options.TTL / renewDivisor
}

var errHeldByOther = errors.New("key is held by another instance")

// create writes the key if it does not exist. After a lost reply it reads the key and compares the value, which is
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
		return 0, errHeldByOther
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
		return 0, errHeldByOther
	}
	return kv.CreateRevision, nil
}

// renew makes one attempt and returns the time until the next step. A renewal that succeeds after the local deadline
// proves that the lease did not expire, so the holder keeps the same token.
func (h *Holder) renew(ctx context.Context) time.Duration {
	held := h.current.Load()
	if held == nil {
		return 0
	}
	interval := h.options.TTL / renewDivisor
	call, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	sentAt, sentAtBoot := time.Now(), timing.SinceBoot()
	ttl, err := h.options.Store.KeepAlive(call, held.lease)
	switch {
	case err == nil:
		// EndBefore may have ended the holding meanwhile.
		h.current.CompareAndSwap(held, newHeldLease(held.token, held.lease, sentAt, sentAtBoot, ttl-h.options.SafetyMargin))
		return interval - min(interval, time.Since(sentAt))
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

// release ends the lease locally before it revokes it at the store.
func (h *Holder) release() {
	held := h.current.Swap(nil)
	if held != nil {
		h.revoke(held.lease)
	}
}

// revoke makes one attempt. A lease that is not revoked expires by itself.
func (h *Holder) revoke(id kvstore.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), h.options.TTL/renewDivisor)
	defer cancel()
	if err := h.options.Store.Revoke(ctx, id); err != nil {
		h.options.Log.Info("lease not revoked", zap.Error(err))
	}
}

// EndBefore ends a holding whose token is below a revision. It is called when the store was restored from an older copy,
// in which the lease may be missing.
func (h *Holder) EndBefore(revision kvstore.Revision) {
	held := h.current.Load()
	if held == nil || held.token.Revision >= revision || !h.current.CompareAndSwap(held, nil) {
		return
	}
	h.options.Scope.Counter("lost").Inc(1)
	h.options.Log.Warn("lease ended: the store was restored from an older copy", zap.Int64("revision", int64(held.token.Revision)))
}
