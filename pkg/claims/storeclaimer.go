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

// maxUnsent bounds the remembered claims that were written without a reply; an entry takes about 150 bytes.
const maxUnsent = 4096

var errGrantUsed = errors.New("grant was completed or released before")

// Store is the part of the key-value store that a StoreClaimer uses.
type Store interface {
	kvstore.Writer
	kvstore.Leaser
}

// StoreOptions are the parameters of NewStoreClaimer.
type StoreOptions struct {
	Store Store
	// Prefix is prepended to the store keys, for example "mulberryglade/".
	Prefix string
	// Instance and Incarnation name the claiming process in the records.
	Instance    string
	Incarnation string
	// MaxDelay is the longest wait of a write for others that share its call; zero means 4 ms.
	MaxDelay time.Duration
	// MaxBatch is the largest number of writes in a call; zero means 100.
	MaxBatch int
	Scope    tally.Scope
}

// StoreClaimer is a Claimer for keys chosen by callers. A claim is a record in the store that is written before the
// call is sent; it stands until it is released or its lease expires after ClaimWindow.
//
// The context of Claim must end with the call: a claim that is neither completed nor released by then is reported as
// ErrOutcomeUnknown to calls that wait for it.
type StoreClaimer struct {
	options   StoreOptions
	committer *committer
	cleanup   conc.WaitGroup

	// unsent has the ids of claims that may stand in the store although their call was told that it was not sent. Such a
	// claim was never granted and no deletion of it was submitted, so a repetition of the call can take it over.
	unsent *lru.Cache[string, struct{}]

	mu    sync.Mutex
	calls map[string]*localCall
}

var _ Claimer = (*StoreClaimer)(nil)

// NewStoreClaimer returns a claimer; Close ends it.
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
	unsent, err := lru.New[string, struct{}](maxUnsent)
	if err != nil {
		// Only a size that is not positive can cause this.
		panic(err)
	}
	return &StoreClaimer{
		options:   o,
		committer: newCommitter(o.Store, leases, o.MaxDelay, o.MaxBatch, o.Scope.SubScope("claims")),
		unsent:    unsent,
		calls:     make(map[string]*localCall),
	}
}

// Close waits for writes in flight; later calls get ErrUnavailable.
func (c *StoreClaimer) Close() {
	c.cleanup.Wait()
	c.committer.close()
}

// claimRecord is the stored claim.
type claimRecord struct {
	// ID is unique to the claim; it tells after a lost reply whose claim stands.
	ID          string `json:"id"`
	RequestHash string `json:"requestHash"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	ClaimedAtMs int64  `json:"claimedAtMs"`
	// DeadlineMs is the end of the claiming call, zero if it has none.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
}

// answerRecord is the stored response.
type answerRecord struct {
	ClaimID  string   `json:"claimId"`
	Response Response `json:"response"`
}

// localCall is a call of this instance that claims or holds a key; other calls with the key wait for it.
type localCall struct {
	hash [32]byte
	// done is closed after the fields below are set.
	done     chan struct{}
	response *Response
	// err is nil when the call got no claim or released it, and the key can be tried again.
	err error
}

// Claim implements Claimer.
func (c *StoreClaimer) Claim(ctx context.Context, request Request) (Grant, *Response, error) {
	if ctx.Err() != nil {
		return nil, nil, ErrUnavailable
	}
	key := c.storeKey(request)
	for {
		own, other := c.enter(key, request.Hash)
		if other == nil {
			return c.claim(ctx, key, request, own)
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

// storeKey returns the part of the store keys after "claims/" and "answers/".
func (c *StoreClaimer) storeKey(request Request) string {
	sum := sha256.Sum256([]byte(request.Key))
	return request.Member + "/" + hex.EncodeToString(sum[:])
}

func (c *StoreClaimer) claimKey(key string) string  { return c.options.Prefix + "claims/" + key }
func (c *StoreClaimer) answerKey(key string) string { return c.options.Prefix + "answers/" + key }

// enter registers the call, or returns the call that has the key.
func (c *StoreClaimer) enter(key string, hash [32]byte) (own, other *localCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other = c.calls[key]; other != nil {
		return nil, other
	}
	own = &localCall{hash: hash, done: make(chan struct{})}
	c.calls[key] = own
	return own, nil
}

// leave ends the call for those that wait for it. Only the first call of leave has an effect.
func (c *StoreClaimer) leave(key string, call *localCall, response *Response, err error) {
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

// claim writes the claim record and decides by the store's answer.
func (c *StoreClaimer) claim(ctx context.Context, key string, request Request, call *localCall) (Grant, *Response, error) {
	record := c.record(ctx, request)
	outcome, err := c.write(ctx, key, record)
	if err != nil {
		c.leave(key, call, nil, nil)
		return nil, nil, err
	}
	if outcome.result.Applied {
		return c.grant(ctx, key, record.ID, outcome.result.Revision, call), nil, nil
	}
	existing, revision, answer, err := c.parse(key, outcome.result.Current)
	if err == nil && (existing.ID == record.ID || c.takeOver(existing, record)) {
		return c.grant(ctx, key, existing.ID, revision, call), nil, nil
	}
	if err == nil {
		answer, err = c.judge(existing, answer, request)
	}
	c.leave(key, call, nil, nil)
	return nil, answer, err
}

// takeOver tells whether the stored claim is one that an earlier call of this process wrote for the same request and did
// not learn of. Only one call takes it over: the id is forgotten before the grant.
func (c *StoreClaimer) takeOver(existing, record claimRecord) bool {
	return existing.RequestHash == record.RequestHash && c.unsent.Remove(existing.ID)
}

func (c *StoreClaimer) record(ctx context.Context, request Request) claimRecord {
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

// write submits the claim. If the caller's time ends before the result, the claim is deleted when it turns out to have
// been written: nothing was sent for it.
func (c *StoreClaimer) write(ctx context.Context, key string, record claimRecord) (writeOutcome, error) {
	p := c.pending(key, claimLease, c.claimKey(key), record)
	p.write.Conditions = []kvstore.Condition{{Key: c.claimKey(key), Field: kvstore.CreateRevision}}
	p.write.ReadOnFailure = []string{c.claimKey(key), c.answerKey(key)}
	c.committer.submit(p)
	select {
	case outcome := <-p.done:
		if outcome.err != nil {
			if outcome.retried {
				c.unsent.Add(record.ID, struct{}{})
			}
			return outcome, errors.Wrap(ErrUnavailable, outcome.err.Error())
		}
		return outcome, nil
	case <-ctx.Done():
		c.cleanup.Go(func() { c.discard(key, record.ID, <-p.done) })
		return writeOutcome{}, errors.Wrap(ErrUnavailable, ctx.Err().Error())
	}
}

// discard deletes a claim whose caller gave up before it learned of it.
func (c *StoreClaimer) discard(key, id string, outcome writeOutcome) {
	revision := outcome.result.Revision
	if !outcome.result.Applied {
		existing, at, _, err := c.parse(key, outcome.result.Current)
		if outcome.err != nil || err != nil || existing.ID != id {
			return
		}
		revision = at
	}
	p := c.deletion(key, revision)
	c.committer.submit(p)
	<-p.done
}

// pending returns a write of one record.
func (c *StoreClaimer) pending(key string, kind leaseKind, storeKey string, record any) *pendingWrite {
	value, err := json.Marshal(record)
	if err != nil {
		panic(errors.Wrapf(err, "encode record of %s", key))
	}
	return &pendingWrite{
		write: kvstore.ConditionalWrite{Puts: []kvstore.Put{{Key: storeKey, Value: value}}},
		key:   storeKey,
		kind:  kind,
		bytes: len(value),
		done:  make(chan writeOutcome, 1),
	}
}

// deletion returns a write that deletes the claim created at the revision, and no other.
func (c *StoreClaimer) deletion(key string, revision kvstore.Revision) *pendingWrite {
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

// parse reads the claim and its response from the values that were returned instead of a claim.
func (c *StoreClaimer) parse(key string, current []kvstore.KeyValue) (claimRecord, kvstore.Revision, *Response, error) {
	var claim claimRecord
	var revision kvstore.Revision
	var answer answerRecord
	for _, kv := range current {
		var into any = &claim
		if kv.Key == c.answerKey(key) {
			into = &answer
		} else {
			revision = kv.CreateRevision
		}
		if err := json.Unmarshal(kv.Value, into); err != nil {
			return claim, 0, nil, errors.Wrap(ErrOutcomeUnknown, "stored claim is unreadable")
		}
	}
	if claim.ID == "" {
		return claim, 0, nil, errors.Wrap(ErrOutcomeUnknown, "stored claim is unreadable")
	}
	if answer.ClaimID != claim.ID {
		return claim, revision, nil, nil
	}
	return claim, revision, &answer.Response, nil
}

// judge decides what a call with a key that is already claimed gets. It never grants.
func (c *StoreClaimer) judge(claim claimRecord, answer *Response, request Request) (*Response, error) {
	if claim.RequestHash != hex.EncodeToString(request.Hash[:]) {
		return nil, ErrKeyReused
	}
	if answer != nil {
		return answer, nil
	}
	now := time.Now()
	if now.Sub(time.UnixMilli(claim.ClaimedAtMs)) >= AnswerWindow {
		return nil, ErrExpired
	}
	own := claim.Instance == c.options.Instance && claim.Incarnation == c.options.Incarnation
	if !own && now.Before(time.UnixMilli(claim.DeadlineMs)) {
		return nil, ErrInProgress
	}
	return nil, ErrOutcomeUnknown
}

func (c *StoreClaimer) grant(ctx context.Context, key, id string, revision kvstore.Revision, call *localCall) Grant {
	g := &storeGrant{claimer: c, key: key, id: id, revision: revision, call: call}
	g.stop = context.AfterFunc(ctx, func() { c.leave(key, call, nil, ErrOutcomeUnknown) })
	return g
}

// storeGrant is the right that a claim gives.
type storeGrant struct {
	claimer  *StoreClaimer
	key      string
	id       string
	revision kvstore.Revision
	call     *localCall
	used     atomic.Bool
	stop     func() bool
}

// Complete implements Grant.
func (g *storeGrant) Complete(ctx context.Context, response Response) error {
	if !g.used.CompareAndSwap(false, true) {
		return errGrantUsed
	}
	g.stop()
	// Calls that wait share the response; the caller may reuse the bytes.
	response.Body = append([]byte(nil), response.Body...)
	defer g.claimer.leave(g.key, g.call, &response, nil)
	if len(response.Body) > MaxRecordedBytes {
		return ErrNotRecorded
	}
	c := g.claimer
	p := c.pending(g.key, answerLease, c.answerKey(g.key), answerRecord{ClaimID: g.id, Response: response})
	claim := kvstore.Condition{Key: c.claimKey(g.key), Field: kvstore.CreateRevision, Equals: g.revision}
	p.write.Conditions = []kvstore.Condition{claim}
	outcome, err := c.await(ctx, p)
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
	g.stop()
	outcome, err := g.claimer.await(ctx, g.claimer.deletion(g.key, g.revision))
	if err != nil {
		g.claimer.leave(g.key, g.call, nil, ErrOutcomeUnknown)
		return errors.Wrap(err, "release claim")
	}
	g.claimer.leave(g.key, g.call, nil, nil)
	if !outcome.result.Applied && !outcome.retried {
		return errors.New("release claim: the claim no longer exists")
	}
	return nil
}

// await submits a write and waits for its result; the write goes on when the context ends first.
func (c *StoreClaimer) await(ctx context.Context, p *pendingWrite) (writeOutcome, error) {
	c.committer.submit(p)
	select {
	case outcome := <-p.done:
		return outcome, outcome.err
	case <-ctx.Done():
		return writeOutcome{}, ctx.Err()
	}
}
