package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/claims"
	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
	"github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1/peerv1connect"
)

// ErrUnknownPeer means that no address of the instance is known.
var ErrUnknownPeer = errors.New("peer is not known")

func (n *Node) clientOf(instanceID string) (peerv1connect.PeerServiceClient, error) {
	p, known := n.Table.Find(instanceID)
	if !known {
		return nil, errors.Wrapf(ErrUnknownPeer, "instance %q", instanceID)
	}
	return n.Dial(p.Identity.Address), nil
}

// FetchConfig reads the configuration of a peer that is newer than the known revision; a zero revision means that the
// peer has none.
func (n *Node) FetchConfig(ctx context.Context, instanceID string, known int64, have []string) (int64, []byte, []Bundle, error) {
	client, err := n.clientOf(instanceID)
	if err != nil {
		return 0, nil, nil, err
	}
	request := &peerv1.FetchConfigRequest{KnownRevision: known, HaveDigests: have}
	response, err := client.FetchConfig(ctx, connect.NewRequest(request))
	if err != nil {
		return 0, nil, nil, errors.Wrapf(err, "fetch configuration from %q", instanceID)
	}
	var bundles []Bundle
	for _, b := range response.Msg.GetBundles() {
		bundles = append(bundles, Bundle{Digest: b.GetDigest(), Content: b.GetContent()})
	}
	return response.Msg.GetRevision(), response.Msg.GetHead(), bundles, nil
}

// RedeemKey asks the instance that issued the key for the right to send the call. Errors: those of claims.Claimer;
// any failure of the connection is ErrOutcomeUnknown, since the key may have been granted.
func (n *Node) RedeemKey(ctx context.Context, instanceID string, request claims.Request) (granted bool, recorded *claims.Response, err error) {
	client, err := n.clientOf(instanceID)
	if err != nil {
		return false, nil, errors.Mark(err, claims.ErrOutcomeUnknown)
	}
	message := &peerv1.RedeemKeyRequest{Member: request.Member, Key: request.Key, RequestHash: request.Hash[:]}
	response, err := client.RedeemKey(ctx, connect.NewRequest(message))
	if err != nil {
		return false, nil, errors.Mark(errors.Wrap(err, "redeem key"), claims.ErrOutcomeUnknown)
	}
	switch response.Msg.GetState() {
	case peerv1.KeyState_KEY_STATE_GRANTED:
		return true, nil, nil
	case peerv1.KeyState_KEY_STATE_COMPLETED:
		return false, responseFromProto(response.Msg.GetResponse()), nil
	case peerv1.KeyState_KEY_STATE_IN_PROGRESS:
		return false, nil, claims.ErrInProgress
	case peerv1.KeyState_KEY_STATE_REUSED:
		return false, nil, claims.ErrKeyReused
	case peerv1.KeyState_KEY_STATE_EXPIRED:
		return false, nil, claims.ErrExpired
	}
	return false, nil, claims.ErrOutcomeUnknown
}

// CompleteKey records the response of a granted key at the issuing instance; a nil response returns the key unused.
func (n *Node) CompleteKey(ctx context.Context, instanceID, member, key string, response *claims.Response) error {
	client, err := n.clientOf(instanceID)
	if err != nil {
		return err
	}
	message := &peerv1.CompleteKeyRequest{Member: member, Key: key, Response: responseToProto(response)}
	_, err = client.CompleteKey(ctx, connect.NewRequest(message))
	return errors.Wrap(err, "complete key")
}
