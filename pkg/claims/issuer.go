package claims

import (
	"container/list"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Defaults of IssuerOptions. An unused key takes 362 bytes of heap (50,000 keys, one measurement), so that an issuer at
// its bounds takes about 34 MB with the recorded bodies.
const (
	DefaultMaxKeys          = 50_000
	DefaultMaxKeysPerMember = 10_000
	DefaultMaxRecordedTotal = 16 << 20
	// unresolvedAfter is how long a granted key without a response is reported as in progress, then as unknown. It is
	// longer than any call may take.
	unresolvedAfter = 10 * time.Minute
	// maxReleases bounds the redemptions that are remembered per key; a key that was released that often is dropped.
	maxReleases = 8
)

// KeyState is the result of a redemption; the peer protocol has a value of the same name for each.
type KeyState int

// The results of a redemption.
const (
	// KeyUnknown means that the issuer cannot tell whether a call with the key ran.
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
	// Redemption is unique to the Claim that asks. A repeated request with it gets the same answer, so that a lost reply
	// can be asked for again; completion and release are bound to it.
	Redemption string
}

// RedeemResult is the issuer's answer.
type RedeemResult struct {
	State KeyState
	// Response is set when State is KeyCompleted.
	Response *Response
}

// CompleteRequest records the response of a granted key, or returns the grant.
type CompleteRequest struct {
	Member     string
	Key        string
	Redemption string
	// Released means that the call was certainly not sent; the key can then be granted again. It is a field of its own,
	// so that a response that is missing by mistake never frees the key.
	Released bool
	// Response is recorded when Released is false.
	Response Response
}

// IssuerOptions are the parameters of NewIssuer; zero bounds mean the defaults.
type IssuerOptions struct {
	Instance         string
	Incarnation      string
	MaxKeys          int
	MaxKeysPerMember int
	// MaxRecordedTotal bounds the recorded bodies of all keys, in bytes.
	MaxRecordedTotal int
	Scope            tally.Scope
}

// Issuer issues keys and grants each of them from memory. A key is granted only while its entry exists and is not
// granted, so a key that expired, was evicted or belongs to another incarnation is never granted. It is safe for
// concurrent use.
type Issuer struct {
	options IssuerOptions

	mu      sync.Mutex
	entries map[string]*keyEntry
	// all and members hold entries in the order of issue.
	all      list.List
	members  map[string]*list.List
	recorded list.List
	// recordedBytes is the size of the bodies of recorded.
	recordedBytes int
}

type keyEntry struct {
	secret     string
	member     string
	issued     time.Time
	redemption string
	granted    time.Time
	hash       [32]byte
	completed  bool
	response   *Response
	released   []string

	inAll, inMember, inRecorded *list.Element
}

// NewIssuer returns an issuer without keys.
func NewIssuer(o IssuerOptions) *Issuer {
	if o.MaxKeys <= 0 {
		o.MaxKeys = DefaultMaxKeys
	}
	if o.MaxKeysPerMember <= 0 {
		o.MaxKeysPerMember = DefaultMaxKeysPerMember
	}
	if o.MaxRecordedTotal <= 0 {
		o.MaxRecordedTotal = DefaultMaxRecordedTotal
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Scope = o.Scope.SubScope("issued_keys")
	return &Issuer{options: o, entries: make(map[string]*keyEntry), members: make(map[string]*list.List)}
}

// Issue returns a new key for the member. A member at its bound loses its own oldest key, never another member's. With
// the total bound reached the error is ErrUnavailable.
func (i *Issuer) Issue(member string) (string, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	// The HTTP server may reuse the bytes of the name.
	member = strings.Clone(member)
	now := time.Now()
	i.expire(now)
	own := i.members[member]
	if own != nil && own.Len() >= i.options.MaxKeysPerMember {
		i.drop(own.Front().Value.(*keyEntry))
		i.options.Scope.Counter("evicted").Inc(1)
	}
	if len(i.entries) >= i.options.MaxKeys {
		return "", errors.Wrap(ErrUnavailable, "too many issued keys")
	}
	if own = i.members[member]; own == nil {
		own = list.New()
		i.members[member] = own
	}
	e := &keyEntry{secret: newSecret(), member: member, issued: now}
	i.entries[e.secret] = e
	e.inAll = i.all.PushBack(e)
	e.inMember = own.PushBack(e)
	i.options.Scope.Counter("issued").Inc(1)
	key := IssuedKey{Instance: i.options.Instance, Incarnation: i.options.Incarnation, IssuedAt: now, Secret: e.secret}
	return key.String(), nil
}

// expire drops the keys whose window is over.
func (i *Issuer) expire(now time.Time) {
	for front := i.all.Front(); front != nil; front = i.all.Front() {
		e := front.Value.(*keyEntry)
		if now.Sub(e.issued) < AnswerWindow {
			return
		}
		i.drop(e)
	}
}

func (i *Issuer) drop(e *keyEntry) {
	delete(i.entries, e.secret)
	i.all.Remove(e.inAll)
	own := i.members[e.member]
	own.Remove(e.inMember)
	if own.Len() == 0 {
		delete(i.members, e.member)
	}
	i.forgetResponse(e)
}

func (i *Issuer) forgetResponse(e *keyEntry) {
	if e.inRecorded == nil {
		return
	}
	i.recorded.Remove(e.inRecorded)
	i.recordedBytes -= len(e.response.Body)
	e.inRecorded, e.response = nil, nil
}

// Redeem grants the key if it was issued by this incarnation to the member and is not granted.
func (i *Issuer) Redeem(request RedeemRequest) RedeemResult {
	result := i.redeem(request)
	i.options.Scope.Tagged(map[string]string{"state": result.State.String()}).Counter("redeemed").Inc(1)
	return result
}

func (i *Issuer) redeem(request RedeemRequest) RedeemResult {
	key, err := ParseIssuedKey(request.Key)
	if err != nil || !i.issuedHere(key) || request.Redemption == "" {
		return RedeemResult{State: KeyUnknown}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	i.expire(now)
	e := i.entries[key.Secret]
	if e == nil {
		return RedeemResult{State: missingState(key, now)}
	}
	if e.member != request.Member {
		return RedeemResult{State: KeyUnknown}
	}
	return e.redeem(request, now)
}

func (i *Issuer) issuedHere(key IssuedKey) bool {
	return key.Instance == i.options.Instance && key.Incarnation == i.options.Incarnation
}

// missingState tells an expired key from one that was evicted or never issued.
func missingState(key IssuedKey, now time.Time) KeyState {
	if now.Sub(key.IssuedAt) >= AnswerWindow {
		return KeyExpired
	}
	return KeyUnknown
}

func (e *keyEntry) redeem(request RedeemRequest, now time.Time) RedeemResult {
	if e.wasReleased(request.Redemption) {
		return RedeemResult{State: KeyUnknown}
	}
	if e.redemption == "" {
		e.redemption, e.hash, e.granted = request.Redemption, request.Hash, now
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
	case now.Sub(e.granted) >= unresolvedAfter:
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

// Complete records the response, or takes the grant back. A request whose redemption is not the one
// that was granted has no effect: a late release of an earlier redemption must not free a key that another call holds.
func (i *Issuer) Complete(request CompleteRequest) error {
	key, err := ParseIssuedKey(request.Key)
	if err != nil || !i.issuedHere(key) {
		return errors.Wrap(ErrOutcomeUnknown, "key was not issued by this incarnation")
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	e := i.entries[key.Secret]
	if e == nil || e.member != request.Member {
		return errors.Wrap(ErrOutcomeUnknown, "key is not known")
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
	return i.record(e, request.Response)
}

// release remembers the redemption, so that a copy of its request that arrives later cannot be granted.
func (i *Issuer) release(e *keyEntry, redemption string) error {
	if redemption == "" || e.wasReleased(redemption) {
		return nil
	}
	held := e.redemption == redemption
	if held && e.completed {
		return errors.Wrap(ErrOutcomeUnknown, "key is completed")
	}
	if len(e.released) >= maxReleases {
		i.drop(e)
		return nil
	}
	e.released = append(e.released, redemption)
	if held {
		e.redemption = ""
	}
	return nil
}

// record keeps the response within the bounds; the oldest responses make room.
func (i *Issuer) record(e *keyEntry, response Response) error {
	if len(response.Body) > MaxRecordedBytes || len(response.Body) > i.options.MaxRecordedTotal {
		return ErrNotRecorded
	}
	for i.recordedBytes+len(response.Body) > i.options.MaxRecordedTotal {
		i.forgetResponse(i.recorded.Front().Value.(*keyEntry))
	}
	response.Body = append([]byte(nil), response.Body...)
	e.response = &response
	e.inRecorded = i.recorded.PushBack(e)
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
