package peer

import (
	"context"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/claims"
	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
	"github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1/peerv1connect"
)

// ErrUnknownPeer means that the instance is not in the table of known peers.
var ErrUnknownPeer = errors.New("peer is not known")

func (n *Node) clientFor(instanceID string) (peerv1connect.PeerServiceClient, error) {
	p, known := n.Table.Find(instanceID)
	if !known {
		return nil, errors.Wrapf(ErrUnknownPeer, "instance %q", instanceID)
	}
	return n.Dial(p.Identity.Address), nil
}

// FetchConfig fetches from a peer the configuration newer than knownRevision, without the bundles in haveDigests. A
// zero revision means that the peer has none newer.
func (n *Node) FetchConfig(
	ctx context.Context, instanceID string, knownRevision int64, haveDigests []string,
) (int64, []byte, []Bundle, error) {
	client, err := n.clientFor(instanceID)
	if err != nil {
		return 0, nil, nil, err
	}
	request := &peerv1.FetchConfigRequest{KnownRevision: knownRevision, HaveDigests: haveDigests}
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

// IssuerClient redeems and completes issued keys at the instances that issued them. It implements claims.PeerIssuers.
type IssuerClient struct {
	Node *Node
}

var _ claims.PeerIssuers = IssuerClient{}

// Redeem implements claims.PeerIssuers.
func (k IssuerClient) Redeem(ctx context.Context, instance, incarnation string, request claims.RedeemRequest) (claims.RedeemResult, error) {
	client, err := k.Node.clientFor(instance)
	if err != nil {
		return claims.RedeemResult{}, err
	}
	message := &peerv1.RedeemKeyRequest{
		Member:      request.Member,
		Key:         request.Key,
		RequestHash: request.Hash[:],
		Redemption:  request.Redemption,
		Incarnation: incarnation,
	}
	response, err := client.RedeemKey(ctx, connect.NewRequest(message))
	if err != nil {
		return claims.RedeemResult{}, errors.Wrapf(err, "redeem key at %q", instance)
	}
	return claims.RedeemResult{
		State:    stateFromProto(response.Msg.GetState()),
		Response: responseFromProto(response.Msg.GetResponse()),
	}, nil
}

// Complete implements claims.PeerIssuers.
func (k IssuerClient) Complete(ctx context.Context, instance, incarnation string, request claims.CompleteRequest) error {
	client, err := k.Node.clientFor(instance)
	if err != nil {
		return err
	}
	message := &peerv1.CompleteKeyRequest{
		Member:      request.Member,
		Key:         request.Key,
		Redemption:  request.Redemption,
		Incarnation: incarnation,
		Released:    request.Released,
	}
	if !request.Released {
		message.Response = responseToProto(&request.Response)
	}
	_, err = client.CompleteKey(ctx, connect.NewRequest(message))
	return errors.Wrapf(err, "complete key at %q", instance)
}
