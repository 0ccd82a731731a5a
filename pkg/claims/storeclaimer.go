package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/mulberryglade/mulberryglade/pkg/kvstore"
)

// MaxRecordedBytes is the largest response body that is recorded for replay.
const MaxRecordedBytes = 64 << 10

// ErrNotRecorded means that the response exceeds MaxRecordedBytes; later calls with the key get ErrOutcomeUnknown.
var ErrNotRecorded = errors.New("response is too large to be recorded")

// maxUnconfirmedClaims bounds the entries of StoreClaimer.unconfirmed. An entry takes about 150 bytes.
const maxUnconfirmedClaims = 4096

var errGrantUsed = errors.New("grant has already been completed or released")

// Store is the part of the key-value store interface that a StoreClaimer uses.
type Store interface {
	kvstore.Writer
	kvstore.Leaser
}

// StoreOptions are the parameters of NewStoreClaimer.
type StoreOptions struct {
	Store Store
	// Prefix is prepended to the store keys, for example "mulberryglade/".
	Prefix string
	// Instance and Incarnation identify the claiming process in the records.
	Instance    string
	Incarnation string
	// MaxDelay is the longest time that a write waits for other writes in its batch. Zero means 4 ms.
	MaxDelay time.Duration
	// MaxBatch is the largest number of writes in a batch. Zero means 100.
	MaxBatch int
	Scope    tally.Scope
}

// StoreClaimer is a Claimer for keys chosen by callers. A claim is a record in the store that is written before the
// call is sent. It remains until it is released or its lease expires after ClaimWindow.
//
// The context of Claim must be cancelled when the call ends. If a claim is neither completed nor released by then,
// calls that wait for it get ErrOutcomeUnknown.
type StoreClaimer struct {
	options   StoreOptions
	committer *committer
	cleanup   conc.WaitGroup

	// unconfirmedClaims holds the ids of claims whose write had no confirmed result. Their calls failed with
	// ErrUnavailable, but the claims may exist in the store. They were never granted and no deletion was submitted, so
	// a repeated call can take them over.
	unconfirmedClaims *lru.Cache[string, struct{}]

	mu    sync.Mutex
	calls map[string]*localCall
}

var _ Claimer = (*StoreClaimer)(nil)

// NewStoreClaimer returns a claimer. It must be closed with Close.
func NewStoreClaimer(o StoreOptions) *StoreClaimer {
	if o.MaxDelay <= 0 {
		o.MaxDelay = defaultMaxDelay
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = maxBatchWrites
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	leases := newPeriodLeases(o.Store)
	unconfirmedClaims, err := lru.New[string, struct{}](maxUnconfirmedClaims)
	if err != nil {
		// lru.New fails only if the size is not positive.
		panic(err)
	}
	return &StoreClaimer{
		options:           o,
		committer:         newCommitter(o.Store, leases, o.MaxDelay, o.MaxBatch, o.Scope.SubScope("claims")),
		unconfirmedClaims: unconfirmedClaims,
		calls:             make(map[string]*localCall),
	}
}

// Close waits for the writes in flight. Later calls get ErrUnavailable.
func (c *StoreClaimer) Close() {
	c.cleanup.Wait()
	c.committer.close()
}

// claimRecord is a claim as stored.
type claimRecord struct {
	// ID is unique to the claim. After a lost reply it shows whether this call wrote the stored claim.
	ID          string `json:"id"`
	RequestHash string `json:"requestHash"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	ClaimedAtMs int64  `json:"claimedAtMs"`
	// DeadlineMs is the deadline of the claiming call, or zero if it has none.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
}

// responseRecord is a response as stored.
type responseRecord struct {
	ClaimID  string   `json:"claimId"`
	Response Response `json:"response"`
}

// localCall is a call of this instance that is claiming or holds a key. Other calls with the key wait for it.
type localCall struct {
	hash [32]byte
	// done is closed after the fields below are set.
	done     chan struct{}
	response *Response
	// err and response are both nil if the key was not claimed or was released. A waiting call may then try to claim
	// it.
	err error
}

// Claim implements Claimer.
func (c *StoreClaimer) Claim(ctx context.Context, request Request) (Grant, *Response, error) {
	if ctx.Err() != nil {
		return nil, nil, ErrUnavailable
	}
	key := c.keySuffix(request)
	for {
		own, other := c.registerCall(key, request.Hash)
		if other == nil {
			return c.claimInStore(ctx, key, request, own)
		}
		if other.hash != request.Hash {
			return nil, nil, ErrKeyReused
		}
		select {
		case <-ctx.Done():
			return nil, nil, ErrInProgress
		case <-other.done:
		}
		if other.response != nil || other.err != nil {
			return nil, other.response, other.err
		}
	}
}

// keySuffix returns the part of the store keys that follows "claims/" or "answers/".
func (c *StoreClaimer) keySuffix(request Request) string {
	sum := sha256.Sum256([]byte(request.Key))
	return request.Member + "/" + hex.EncodeToString(sum[:])
}

func (c *StoreClaimer) claimKey(key string) string { return c.options.Prefix + "claims/" + key }

// responseKey returns the store key of a response. Its prefix "answers/" is part of stored data.
func (c *StoreClaimer) responseKey(key string) string { return c.options.Prefix + "answers/" + key }

// registerCall registers a new call for the key and returns it as own. If the key already has a call, that call is
// returned as other.
func (c *StoreClaimer) registerCall(key string, hash [32]byte) (own, other *localCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other = c.calls[key]; other != nil {
		return nil, other
	}
	own = &localCall{hash: hash, done: make(chan struct{})}
	c.calls[key] = own
	return own, nil
}

// finishCall removes the call and passes its result to the calls that wait for it. Only the first finishCall for a call
// has an effect.
func (c *StoreClaimer) finishCall(key string, call *localCall, response *Response, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[key] != call {
		return
	}
	delete(c.calls, key)
	call.response = response
	call.err = err
	close(call.done)
}

// claimInStore writes the claim record. Depending on the result it returns a grant, the recorded response or an error.
func (c *StoreClaimer) claimInStore(ctx context.Context, key string, request Request, call *localCall) (Grant, *Response, error) {
	record := c.newClaimRecord(ctx, request)
	outcome, err := c.writeClaim(ctx, key, record)
	if err != nil {
		c.finishCall(key, call, nil, nil)
		return nil, nil, err
	}
	if outcome.result.Applied {
		return c.newGrant(ctx, key, record.ID, outcome.result.Revision, call), nil, nil
	}
	existing, revision, response, err := c.parseCurrent(key, outcome.result.Current)
	if err == nil && (existing.ID == record.ID || c.takeOverUnconfirmedClaim(existing, record)) {
		return c.newGrant(ctx, key, existing.ID, revision, call), nil, nil
	}
	if err == nil {
		response, err = c.resolveExistingClaim(existing, response, request)
	}
	c.finishCall(key, call, nil, nil)
	return nil, response, err
}

// takeOverUnconfirmedClaim reports whether the stored claim was written for the same request by an earlier call of this
// process that did not receive the result. It removes the id from unconfirmedClaims before the grant, so that only one
// call takes the claim over.
func (c *StoreClaimer) takeOverUnconfirmedClaim(existing, record claimRecord) bool {
	return existing.RequestHash == record.RequestHash && c.unconfirmedClaims.Remove(existing.ID)
}

func (c *StoreClaimer) newClaimRecord(ctx context.Context, request Request) claimRecord {
	record := claimRecord{
		ID:          uuid.NewString(),
		RequestHash: hex.EncodeToString(request.Hash[:]),
		Instance:    c.options.Instance,
		Incarnation: c.options.Incarnation,
		ClaimedAtMs: time.Now().UnixMilli(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		record.DeadlineMs = deadline.UnixMilli()
	}
	return record
}

// writeClaim submits the claim and waits for the result. If the context ends first, the call is not sent, so the claim
// is deleted in the background in case it is written.
func (c *StoreClaimer) writeClaim(ctx context.Context, key string, record claimRecord) (writeOutcome, error) {
	p := c.newPut(key, claimLease, c.claimKey(key), record)
	p.write.Conditions = []kvstore.Condition{{Key: c.claimKey(key), Field: kvstore.CreateRevision}}
	p.write.ReadOnFailure = []string{c.claimKey(key), c.responseKey(key)}
	c.committer.submit(p)
	select {
	case outcome := <-p.done:
		if outcome.err != nil {
			// Without a lost reply, a failed write certainly took no effect.
			if outcome.retried {
				c.unconfirmedClaims.Add(record.ID, struct{}{})
			}
			return outcome, errors.Wrap(ErrUnavailable, outcome.err.Error())
		}
		return outcome, nil
	case <-ctx.Done():
		c.cleanup.Go(func() { c.deleteAbandoned(key, record.ID, <-p.done) })
		return writeOutcome{}, errors.Wrap(ErrUnavailable, ctx.Err().Error())
	}
}

// deleteAbandoned deletes a claim whose caller gave up before the result of the write was known.
func (c *StoreClaimer) deleteAbandoned(key, id string, outcome writeOutcome) {
	revision := outcome.result.Revision
	if !outcome.result.Applied {
		existing, claimRevision, _, err := c.parseCurrent(key, outcome.result.Current)
		if outcome.err != nil || err != nil || existing.ID != id {
			return
		}
		revision = claimRevision
	}
	p := c.newClaimDeletion(key, revision)
	c.committer.submit(p)
	<-p.done
}

// newPut returns a write that stores a record under storeKey. The suffix names the record in errors.
func (c *StoreClaimer) newPut(suffix string, kind leaseKind, storeKey string, record any) *pendingWrite {
	value, err := json.Marshal(record)
	if err != nil {
		panic(errors.Wrapf(err, "encode record of %s", suffix))
	}
	return &pendingWrite{
		write: kvstore.ConditionalWrite{Puts: []kvstore.Put{{Key: storeKey, Value: value}}},
		key:   storeKey,
		kind:  kind,
		bytes: len(value),
		done:  make(chan writeOutcome, 1),
	}
}

// newClaimDeletion returns a write that deletes the claim only if it was created at the revision.
func (c *StoreClaimer) newClaimDeletion(key string, revision kvstore.Revision) *pendingWrite {
	claim := c.claimKey(key)
	return &pendingWrite{
		write: kvstore.ConditionalWrite{
			Conditions:    []kvstore.Condition{{Key: claim, Field: kvstore.CreateRevision, Equals: revision}},
			Deletes:       []string{claim},
			ReadOnFailure: []string{claim},
		},
		key:  claim,
		done: make(chan writeOutcome, 1),
	}
}

// parseCurrent decodes the stored claim, its create revision and its response, if any, from the values that were read
// when a write of the claim was not applied.
func (c *StoreClaimer) parseCurrent(key string, current []kvstore.KeyValue) (claimRecord, kvstore.Revision, *Response, error) {
	var claim claimRecord
	var revision kvstore.Revision
	var stored responseRecord
	for _, kv := range current {
		var target any = &claim
		if kv.Key == c.responseKey(key) {
			target = &stored
		} else {
			revision = kv.CreateRevision
		}
		if err := json.Unmarshal(kv.Value, target); err != nil {
			return claim, 0, nil, errors.Wrap(ErrOutcomeUnknown, "stored claim cannot be decoded")
		}
	}
	if claim.ID == "" {
		return claim, 0, nil, errors.Wrap(ErrOutcomeUnknown, "stored claim cannot be decoded")
	}
	if stored.ClaimID != claim.ID {
		return claim, revision, nil, nil
	}
	return claim, revision, &stored.Response, nil
}

// resolveExistingClaim returns the response or the error for a call whose key is already claimed. It never grants the
// call.
func (c *StoreClaimer) resolveExistingClaim(claim claimRecord, response *Response, request Request) (*Response, error) {
	if claim.RequestHash != hex.EncodeToString(request.Hash[:]) {
		return nil, ErrKeyReused
	}
	if response != nil {
		return response, nil
	}
	now := time.Now()
	if now.Sub(time.UnixMilli(claim.ClaimedAtMs)) >= ResponseWindow {
		return nil, ErrExpired
	}
	own := claim.Instance == c.options.Instance && claim.Incarnation == c.options.Incarnation
	if !own && now.Before(time.UnixMilli(claim.DeadlineMs)) {
		return nil, ErrInProgress
	}
	return nil, ErrOutcomeUnknown
}

func (c *StoreClaimer) newGrant(ctx context.Context, key, id string, revision kvstore.Revision, call *localCall) Grant {
	g := &storeGrant{claimer: c, key: key, id: id, revision: revision, call: call}
	g.stopAfterFunc = context.AfterFunc(ctx, func() { c.finishCall(key, call, nil, ErrOutcomeUnknown) })
	return g
}

// storeGrant is the Grant of a claim in the store.
type storeGrant struct {
	claimer       *StoreClaimer
	key           string
	id            string
	revision      kvstore.Revision
	call          *localCall
	used          atomic.Bool
	stopAfterFunc func() bool
}

// Complete implements Grant.
func (g *storeGrant) Complete(ctx context.Context, response Response) error {
	if !g.used.CompareAndSwap(false, true) {
		return errGrantUsed
	}
	g.stopAfterFunc()
	// Waiting calls share the response, and the caller may reuse the memory of the body.
	response.Body = append([]byte(nil), response.Body...)
	defer g.claimer.finishCall(g.key, g.call, &response, nil)
	if len(response.Body) > MaxRecordedBytes {
		return ErrNotRecorded
	}
	c := g.claimer
	p := c.newPut(g.key, responseLease, c.responseKey(g.key), responseRecord{ClaimID: g.id, Response: response})
	claim := kvstore.Condition{Key: c.claimKey(g.key), Field: kvstore.CreateRevision, Equals: g.revision}
	p.write.Conditions = []kvstore.Condition{claim}
	outcome, err := c.submitAndWait(ctx, p)
	if err != nil {
		return errors.Wrap(err, "record response")
	}
	if !outcome.result.Applied {
		return errors.New("record response: the claim no longer exists")
	}
	return nil
}

// Release implements Grant.
func (g *storeGrant) Release(ctx context.Context) error {
	if !g.used.CompareAndSwap(false, true) {
		return errGrantUsed
	}
	g.stopAfterFunc()
	outcome, err := g.claimer.submitAndWait(ctx, g.claimer.newClaimDeletion(g.key, g.revision))
	if err != nil {
		g.claimer.finishCall(g.key, g.call, nil, ErrOutcomeUnknown)
		return errors.Wrap(err, "release claim")
	}
	g.claimer.finishCall(g.key, g.call, nil, nil)
	// After a retry, an earlier Commit call may have deleted the claim.
	if !outcome.result.Applied && !outcome.retried {
		return errors.New("release claim: the claim no longer exists")
	}
	return nil
}

// submitAndWait submits a write and waits for its result. The write continues if the context ends first.
func (c *StoreClaimer) submitAndWait(ctx context.Context, p *pendingWrite) (writeOutcome, error) {
	c.committer.submit(p)
	select {
	case outcome := <-p.done:
		return outcome, outcome.err
	case <-ctx.Done():
		return writeOutcome{}, ctx.Err()
	}
}
