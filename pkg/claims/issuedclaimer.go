package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mulberryglade/mulberryglade/internal/timing"
)

const (
	// redeemAttempts is the number of calls to an issuer whose replies are lost.
	redeemAttempts = 3
	// redeemPause lies between them.
	redeemPause = 50 * time.Millisecond
)

// PeerKeys reaches the issuers of other instances. Implementations do not repeat a call by themselves.
type PeerKeys interface {
	// Redeem asks the incarnation of the instance that issued the key. An error means that there is no answer; the key
	// may have been granted to the redemption.
	Redeem(ctx context.Context, instance, incarnation string, request RedeemRequest) (RedeemResult, error)
	// Complete records the response or releases the key. An error means that it may not have arrived.
	Complete(ctx context.Context, instance, incarnation string, request CompleteRequest) error
}

// Redeemer answers redemptions of keys that this instance issued; the peer server calls it.
type Redeemer interface {
	Redeem(request RedeemRequest) RedeemResult
	Complete(request CompleteRequest) error
}

var _ Redeemer = (*Issuer)(nil)

// IssuedClaimer is a Claimer for issued keys. It makes no call to the store.
type IssuedClaimer struct {
	own   *Issuer
	peers PeerKeys
}

var _ Claimer = (*IssuedClaimer)(nil)

// NewIssuedClaimer returns a claimer that redeems keys of its own issuer in memory and those of other instances through
// peers.
func NewIssuedClaimer(own *Issuer, peers PeerKeys) *IssuedClaimer {
	return &IssuedClaimer{own: own, peers: peers}
}

// Claim implements Claimer. A key whose issuer does not answer, or is another incarnation than the one that issued it,
// gets ErrOutcomeUnknown: an earlier call with the key may have run.
func (c *IssuedClaimer) Claim(ctx context.Context, request Request) (Grant, *Response, error) {
	key, err := ParseIssuedKey(request.Key)
	if err != nil {
		return nil, nil, err
	}
	grant := &issuedGrant{claimer: c, key: key}
	grant.request = CompleteRequest{Member: request.Member, Key: request.Key, Redemption: uuid.NewString()}
	redeem := RedeemRequest{Request: request, Redemption: grant.request.Redemption}
	result, err := c.redeem(ctx, key, redeem)
	if err != nil {
		return nil, nil, errors.Wrap(ErrOutcomeUnknown, "issuer of the key does not answer")
	}
	switch result.State {
	case KeyGranted:
		return grant, nil, nil
	case KeyCompleted:
		if result.Response != nil {
			return nil, result.Response, nil
		}
		return nil, nil, ErrOutcomeUnknown
	case KeyInProgress:
		return nil, nil, ErrInProgress
	case KeyReused:
		return nil, nil, ErrKeyReused
	case KeyExpired:
		return nil, nil, ErrExpired
	default:
		return nil, nil, ErrOutcomeUnknown
	}
}

// redeem asks again after a lost reply: the redemption makes the repetition harmless.
func (c *IssuedClaimer) redeem(ctx context.Context, key IssuedKey, request RedeemRequest) (RedeemResult, error) {
	if key.Instance == c.own.options.Instance {
		return c.own.Redeem(request), nil
	}
	var result RedeemResult
	var err error
	for attempt := range redeemAttempts {
		if attempt > 0 {
			_ = timing.Sleep(ctx, redeemPause)
		}
		if ctx.Err() != nil {
			return RedeemResult{}, ctx.Err()
		}
		result, err = c.peers.Redeem(ctx, key.Instance, key.Incarnation, request)
		if err == nil {
			return result, nil
		}
	}
	return RedeemResult{}, err
}

// issuedGrant is the right that a redemption gives.
type issuedGrant struct {
	claimer *IssuedClaimer
	key     IssuedKey
	request CompleteRequest
	used    atomic.Bool
}

// Complete implements Grant. A response that is too large is not sent to the issuer; the key stays granted, so later
// calls get ErrInProgress and then ErrOutcomeUnknown.
func (g *issuedGrant) Complete(ctx context.Context, response Response) error {
	if !g.used.CompareAndSwap(false, true) {
		return errGrantUsed
	}
	if len(response.Body) > MaxRecordedBytes {
		return ErrNotRecorded
	}
	request := g.request
	request.Response = response
	return g.finish(ctx, request)
}

// Release implements Grant.
func (g *issuedGrant) Release(ctx context.Context) error {
	if !g.used.CompareAndSwap(false, true) {
		return errGrantUsed
	}
	request := g.request
	request.Released = true
	return g.finish(ctx, request)
}

func (g *issuedGrant) finish(ctx context.Context, request CompleteRequest) error {
	if g.key.Instance == g.claimer.own.options.Instance {
		return g.claimer.own.Complete(request)
	}
	return g.claimer.peers.Complete(ctx, g.key.Instance, g.key.Incarnation, request)
}

// Router sends issued keys to one claimer and all others to another.
type Router struct {
	Issued Claimer
	Store  Claimer
}

var _ Claimer = Router{}

// Claim implements Claimer.
func (r Router) Claim(ctx context.Context, request Request) (Grant, *Response, error) {
	if IsIssuedKey(request.Key) {
		return r.Issued.Claim(ctx, request)
	}
	return r.Store.Claim(ctx, request)
}
