package claims

import (
	"container/list"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Defaults of IssuerOptions. With 50,000 keys, an unused key takes 362 bytes of heap. An issuer that has reached all
// bounds therefore takes about 34 MB, including the recorded bodies.
const (
	DefaultMaxKeys               = 50_000
	DefaultMaxKeysPerMember      = 10_000
	DefaultMaxTotalRecordedBytes = 16 << 20
	// maxInProgressTime is the time for which a granted key without a response is reported as in progress. After that
	// it is reported as unknown. No call may take this long.
	maxInProgressTime = 10 * time.Minute
	// maxReleasesPerKey bounds the number of released redemptions that are stored per key. A key that is released more
	// often is dropped.
	maxReleasesPerKey = 8
)

// KeyState is the result of a redemption. The peer protocol has a value of the same name for each state.
type KeyState int

// The states that a redemption returns.
const (
	// KeyUnknown means that the issuer does not know whether a call with the key ran.
	KeyUnknown KeyState = iota
	KeyGranted
	KeyInProgress
	KeyCompleted
	KeyReused
	KeyExpired
)

// RedeemRequest asks an issuer to grant a key.
type RedeemRequest struct {
	Request
	// Redemption is a unique id of the Claim call. A request that is repeated with it gets the same reply, so a request
	// can be retried after a lost reply. Completion and release must name the same redemption.
	Redemption string
}

// RedeemResult is the issuer's reply to a RedeemRequest.
type RedeemResult struct {
	State KeyState
	// Response is set when State is KeyCompleted.
	Response *Response
}

// CompleteRequest records the response for a granted key or releases the grant.
type CompleteRequest struct {
	Member     string
	Key        string
	Redemption string
	// Released means that the call certainly did not run and the key can be granted again. It is a separate field, so
	// that a response that is missing by mistake never releases the key.
	Released bool
	// Response is recorded when Released is false.
	Response Response
}

// IssuerOptions are the parameters of NewIssuer. A bound of zero selects the default.
type IssuerOptions struct {
	Instance         string
	Incarnation      string
	MaxKeys          int
	MaxKeysPerMember int
	// MaxTotalRecordedBytes bounds the total size of the recorded response bodies of all keys.
	MaxTotalRecordedBytes int
	Scope                 tally.Scope
}

// Issuer issues keys and grants them from memory. It grants a key only if the key has an entry and is not already
// granted. A key that has expired, was evicted or belongs to another incarnation is therefore never granted. An Issuer
// is safe for concurrent use.
type Issuer struct {
	options IssuerOptions

	mu      sync.Mutex
	entries map[string]*keyEntry
	// all and members list the entries in the order of issue; recorded lists those with a response in the order of
	// recording.
	all      list.List
	members  map[string]*list.List
	recorded list.List
	// recordedBytes is the total size of the response bodies of the entries in recorded.
	recordedBytes int
}

type keyEntry struct {
	secret   string
	member   string
	issuedAt time.Time
	// redemption is the id of the redemption that holds the grant. It is empty if the key is not granted.
	redemption string
	grantedAt  time.Time
	hash       [32]byte
	completed  bool
	response   *Response
	// released holds the ids of the released redemptions.
	released []string

	allElement, memberElement, recordedElement *list.Element
}

// NewIssuer returns an issuer that has not issued any key.
func NewIssuer(o IssuerOptions) *Issuer {
	if o.MaxKeys <= 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	if o.MaxKeysPerMember <= 0 {
		o.MaxKeysPerMember = DefaultMaxKeysPerMember
	}
	if o.MaxTotalRecordedBytes <= 0 {
		o.MaxTotalRecordedBytes = DefaultMaxTotalRecordedBytes
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Scope = o.Scope.SubScope("issued_keys")
	return &Issuer{options: o, entries: make(map[string]*keyEntry), members: make(map[string]*list.List)}
}

// Issue returns a new key for the member. If the member has reached MaxKeysPerMember, its oldest key is evicted, never
// a key of another member. If MaxKeys is reached, the error is ErrUnavailable.
func (i *Issuer) Issue(member string) (string, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	// The HTTP server may reuse the memory of the string.
	member = strings.Clone(member)
	now := time.Now()
	i.dropExpired(now)
	memberKeys := i.members[member]
	if memberKeys != nil && memberKeys.Len() >= i.options.MaxKeysPerMember {
		i.dropKey(memberKeys.Front().Value.(*keyEntry))
		i.options.Scope.Counter("evicted").Inc(1)
	}
	if len(i.entries) >= i.options.MaxKeys {
		return "", errors.Wrap(ErrUnavailable, "too many issued keys")
	}
	if memberKeys = i.members[member]; memberKeys == nil {
		memberKeys = list.New()
		i.members[member] = memberKeys
	}
	e := &keyEntry{secret: newSecret(), member: member, issuedAt: now}
	i.entries[e.secret] = e
	e.allElement = i.all.PushBack(e)
	e.memberElement = memberKeys.PushBack(e)
	i.options.Scope.Counter("issued").Inc(1)
	key := IssuedKey{Instance: i.options.Instance, Incarnation: i.options.Incarnation, IssuedAt: now, Secret: e.secret}
	return key.String(), nil
}

// dropExpired removes the keys that are older than ResponseWindow.
func (i *Issuer) dropExpired(now time.Time) {
	for front := i.all.Front(); front != nil; front = i.all.Front() {
		e := front.Value.(*keyEntry)
		if now.Sub(e.issuedAt) < ResponseWindow {
			return
		}
		i.dropKey(e)
	}
}

func (i *Issuer) dropKey(e *keyEntry) {
	delete(i.entries, e.secret)
	i.all.Remove(e.allElement)
	memberKeys := i.members[e.member]
	memberKeys.Remove(e.memberElement)
	if memberKeys.Len() == 0 {
		delete(i.members, e.member)
	}
	i.dropResponse(e)
}

func (i *Issuer) dropResponse(e *keyEntry) {
	if e.recordedElement == nil {
		return
	}
	i.recorded.Remove(e.recordedElement)
	i.recordedBytes -= len(e.response.Body)
	e.recordedElement, e.response = nil, nil
}

// Redeem grants the key if this incarnation issued it to the member and it is not currently granted.
func (i *Issuer) Redeem(request RedeemRequest) RedeemResult {
	result := i.redeem(request)
	i.options.Scope.Tagged(map[string]string{"state": result.State.String()}).Counter("redeemed").Inc(1)
	return result
}

func (i *Issuer) redeem(request RedeemRequest) RedeemResult {
	key, err := ParseIssuedKey(request.Key)
	if err != nil || !i.issuedByThisIncarnation(key) || request.Redemption == "" {
		return RedeemResult{State: KeyUnknown}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.dropExpired(now)
	e := i.entries[key.Secret]
	if e == nil {
		return RedeemResult{State: missingKeyState(key, now)}
	}
	if e.member != request.Member {
		return RedeemResult{State: KeyUnknown}
	}
	return e.redeem(request, now)
}

func (i *Issuer) issuedByThisIncarnation(key IssuedKey) bool {
	return key.Instance == i.options.Instance && key.Incarnation == i.options.Incarnation
}

// missingKeyState returns the state of a key without an entry: KeyExpired if it is older than ResponseWindow, and
// KeyUnknown if it was evicted or never issued.
func missingKeyState(key IssuedKey, now time.Time) KeyState {
	if now.Sub(key.IssuedAt) >= ResponseWindow {
		return KeyExpired
	}
	return KeyUnknown
}

func (e *keyEntry) redeem(request RedeemRequest, now time.Time) RedeemResult {
	if e.wasReleased(request.Redemption) {
		return RedeemResult{State: KeyUnknown}
	}
	if e.redemption == "" {
		e.redemption, e.hash, e.grantedAt = request.Redemption, request.Hash, now
		return RedeemResult{State: KeyGranted}
	}
	switch {
	case e.hash != request.Hash:
		return RedeemResult{State: KeyReused}
	case e.completed && e.response != nil:
		return RedeemResult{State: KeyCompleted, Response: e.response}
	case e.completed:
		return RedeemResult{State: KeyUnknown}
	case e.redemption == request.Redemption:
		return RedeemResult{State: KeyGranted}
	case now.Sub(e.grantedAt) >= maxInProgressTime:
		return RedeemResult{State: KeyUnknown}
	default:
		return RedeemResult{State: KeyInProgress}
	}
}

func (e *keyEntry) wasReleased(redemption string) bool {
	for _, released := range e.released {
		if released == redemption {
			return true
		}
	}
	return false
}

// Complete records the response or releases the grant. A request whose redemption does not hold the grant has no effect
// on it: a late release of an earlier redemption must not release a key that another call holds. The exception is a
// release beyond the limit maxReleasesPerKey, which drops the key with any grant; the key is then never granted again.
func (i *Issuer) Complete(request CompleteRequest) error {
	key, err := ParseIssuedKey(request.Key)
	if err != nil || !i.issuedByThisIncarnation(key) {
		return errors.Wrap(ErrOutcomeUnknown, "key was not issued by this incarnation")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	e := i.entries[key.Secret]
	if e == nil || e.member != request.Member {
		return errors.Wrap(ErrOutcomeUnknown, "issuer has no entry for the key")
	}
	if request.Released {
		return i.release(e, request.Redemption)
	}
	if e.redemption != request.Redemption {
		return errors.Wrap(ErrOutcomeUnknown, "key is not granted to this redemption")
	}
	if e.completed {
		return nil
	}
	e.completed = true
	return i.recordResponse(e, request.Response)
}

// release releases the grant if the redemption holds it. It stores the redemption, so that a duplicate of its redeem
// request that arrives later is not granted.
func (i *Issuer) release(e *keyEntry, redemption string) error {
	if redemption == "" || e.wasReleased(redemption) {
		return nil
	}
	holdsGrant := e.redemption == redemption
	if holdsGrant && e.completed {
		return errors.Wrap(ErrOutcomeUnknown, "key is already completed")
	}
	if len(e.released) >= maxReleasesPerKey {
		i.dropKey(e)
		return nil
	}
	e.released = append(e.released, redemption)
	if holdsGrant {
		e.redemption = ""
	}
	return nil
}

// recordResponse stores the response. It drops the oldest responses when MaxTotalRecordedBytes would be exceeded.
func (i *Issuer) recordResponse(e *keyEntry, response Response) error {
	if len(response.Body) > MaxRecordedBytes || len(response.Body) > i.options.MaxTotalRecordedBytes {
		return ErrNotRecorded
	}
	for i.recordedBytes+len(response.Body) > i.options.MaxTotalRecordedBytes {
		i.dropResponse(i.recorded.Front().Value.(*keyEntry))
	}
	response.Body = append([]byte(nil), response.Body...)
	e.response = &response
	e.recordedElement = i.recorded.PushBack(e)
	i.recordedBytes += len(response.Body)
	return nil
}

// Len returns the number of keys in memory.
func (i *Issuer) Len() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.entries)
}

// String returns the name of the state for metrics and logs.
func (s KeyState) String() string {
	switch s {
	case KeyGranted:
		return "granted"
	case KeyInProgress:
		return "in_progress"
	case KeyCompleted:
		return "completed"
	case KeyReused:
		return "reused"
	case KeyExpired:
		return "expired"
	default:
		return "unknown"
	}
}
