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
	// maxRedeemAttempts is the largest number of calls to an issuer for one redemption.
	maxRedeemAttempts = 3
	// redeemRetryDelay is the delay between two attempts.
	redeemRetryDelay = 50 * time.Millisecond
)

// PeerIssuers calls the issuers of other instances. Implementations do not retry a call.
type PeerIssuers interface {
	// Redeem sends the redemption to the incarnation of the instance that issued the key. An error means that no reply
	// was received; the issuer may have granted the key to the redemption.
	Redeem(ctx context.Context, instance, incarnation string, request RedeemRequest) (RedeemResult, error)
	// Complete records the response or releases the key. An error means that the issuer may not have received the
	// request.
	Complete(ctx context.Context, instance, incarnation string, request CompleteRequest) error
}

// Redeemer handles redemptions of keys that this instance issued. The peer server calls it.
type Redeemer interface {
	Redeem(request RedeemRequest) RedeemResult
	Complete(request CompleteRequest) error
}

var _ Redeemer = (*Issuer)(nil)

// IssuedClaimer is a Claimer for issued keys. It does not use the store.
type IssuedClaimer struct {
	local *Issuer
	peers PeerIssuers
}

var _ Claimer = (*IssuedClaimer)(nil)

// NewIssuedClaimer returns a claimer that redeems keys of the local issuer in memory and keys of other instances
// through peers.
func NewIssuedClaimer(local *Issuer, peers PeerIssuers) *IssuedClaimer {
	return &IssuedClaimer{local: local, peers: peers}
}

// Claim implements Claimer. It returns ErrOutcomeUnknown if the issuer does not reply or has restarted since it issued
// the key, because an earlier call with the key may have run.
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
		return nil, nil, errors.Wrap(ErrOutcomeUnknown, "issuer of the key did not reply")
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

// redeem redeems the key at its issuer. It retries after an error, which is safe because the redemption id identifies
// repeated requests.
func (c *IssuedClaimer) redeem(ctx context.Context, key IssuedKey, request RedeemRequest) (RedeemResult, error) {
	if key.Instance == c.local.options.Instance {
		return c.local.Redeem(request), nil
	}
	var result RedeemResult
	var err error
	for attempt := range maxRedeemAttempts {
		if attempt > 0 {
			_ = timing.Sleep(ctx, redeemRetryDelay)
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

// issuedGrant is the Grant of a redemption.
type issuedGrant struct {
	claimer *IssuedClaimer
	key     IssuedKey
	request CompleteRequest
	used    atomic.Bool
}

// Complete implements Grant. A response that is too large is not sent to the issuer. The key stays granted, so later
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
	return g.sendCompletion(ctx, request)
}

// Release implements Grant.
func (g *issuedGrant) Release(ctx context.Context) error {
	if !g.used.CompareAndSwap(false, true) {
		return errGrantUsed
	}
	request := g.request
	request.Released = true
	return g.sendCompletion(ctx, request)
}

func (g *issuedGrant) sendCompletion(ctx context.Context, request CompleteRequest) error {
	if g.key.Instance == g.claimer.local.options.Instance {
		return g.claimer.local.Complete(request)
	}
	return g.claimer.peers.Complete(ctx, g.key.Instance, g.key.Incarnation, request)
}

// Router is a Claimer that passes issued keys to one claimer and all other keys to another.
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
