package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/claims"
	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
	"github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1/peerv1connect"
)

// Bundle is a group of configuration records with the digest of its content.
type Bundle struct {
	Digest  string
	Content []byte
}

// ConfigServer gives peers the configuration that this instance has.
type ConfigServer interface {
	// Newer returns the head manifest and the bundles that are not in have, or a zero revision when this instance has
	// nothing newer than known.
	Newer(known int64, have []string) (revision int64, head []byte, bundles []Bundle)
}

// KeyServer answers for idempotency keys that this incarnation issued.
type KeyServer interface {
	// Redeem grants a key once. Errors are those of claims.Claimer.
	Redeem(ctx context.Context, request claims.Request) (granted bool, recorded *claims.Response, err error)
	// Complete records the response of a granted key; a nil response returns the key unused.
	Complete(ctx context.Context, member, key string, response *claims.Response) error
}

// Server implements the peer protocol.
type Server struct {
	node   *Node
	config ConfigServer
	keys   KeyServer
}

var _ peerv1connect.PeerServiceHandler = (*Server)(nil)

// NewServer returns the handler of the peer protocol.
func NewServer(node *Node, config ConfigServer, keys KeyServer) *Server {
	return &Server{node: node, config: config, keys: keys}
}

// Handler returns the HTTP path and handler; interceptors authenticate peers.
func (s *Server) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	return peerv1connect.NewPeerServiceHandler(s, options...)
}

// Exchange implements the peer protocol.
func (s *Server) Exchange(_ context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m := request.Msg
	id := m.GetPresence().GetInstanceId()
	if id == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("exchange without an instance id"))
	}
	s.node.absorb(m)
	if _, known := s.node.Table.Find(id); !known {
		id = ""
	}
	reply := s.node.compose(id)
	return connect.NewResponse(&peerv1.ExchangeResponse{
		Presence:         reply.Presence,
		Loads:            reply.Loads,
		Acknowledgements: reply.Acknowledgements,
		KnownPeers:       reply.KnownPeers,
		KnownEpoch:       reply.KnownEpoch,
	}), nil
}

// FetchConfig implements the peer protocol.
func (s *Server) FetchConfig(_ context.Context, request *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	revision, head, bundles := s.config.Newer(request.Msg.GetKnownRevision(), request.Msg.GetHaveDigests())
	response := &peerv1.FetchConfigResponse{Revision: revision, Head: head}
	for _, b := range bundles {
		response.Bundles = append(response.Bundles, &peerv1.Bundle{Digest: b.Digest, Content: b.Content})
	}
	return connect.NewResponse(response), nil
}

// RedeemKey implements the peer protocol.
func (s *Server) RedeemKey(ctx context.Context, request *connect.Request[peerv1.RedeemKeyRequest]) (*connect.Response[peerv1.RedeemKeyResponse], error) {
	claim := claims.Request{Member: request.Msg.GetMember(), Key: request.Msg.GetKey()}
	if copy(claim.Hash[:], request.Msg.GetRequestHash()) != len(claim.Hash) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("request hash must have 32 bytes"))
	}
	granted, recorded, err := s.keys.Redeem(ctx, claim)
	state, err := keyState(granted, recorded, err)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerv1.RedeemKeyResponse{State: state, Response: responseToProto(recorded)}), nil
}

func keyState(granted bool, recorded *claims.Response, err error) (peerv1.KeyState, error) {
	switch {
	case err == nil && granted:
		return peerv1.KeyState_KEY_STATE_GRANTED, nil
	case err == nil && recorded != nil:
		return peerv1.KeyState_KEY_STATE_COMPLETED, nil
	case errors.Is(err, claims.ErrInProgress):
		return peerv1.KeyState_KEY_STATE_IN_PROGRESS, nil
	case errors.Is(err, claims.ErrKeyReused):
		return peerv1.KeyState_KEY_STATE_REUSED, nil
	case errors.Is(err, claims.ErrExpired):
		return peerv1.KeyState_KEY_STATE_EXPIRED, nil
	case errors.Is(err, claims.ErrOutcomeUnknown):
		return peerv1.KeyState_KEY_STATE_UNKNOWN, nil
	}
	return peerv1.KeyState_KEY_STATE_UNSPECIFIED, connect.NewError(connect.CodeUnavailable, errors.Wrap(err, "redeem key"))
}

// CompleteKey implements the peer protocol.
func (s *Server) CompleteKey(ctx context.Context, request *connect.Request[peerv1.CompleteKeyRequest]) (*connect.Response[peerv1.CompleteKeyResponse], error) {
	m := request.Msg
	if err := s.keys.Complete(ctx, m.GetMember(), m.GetKey(), responseFromProto(m.GetResponse())); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&peerv1.CompleteKeyResponse{}), nil
}

func responseToProto(r *claims.Response) *peerv1.RecordedResponse {
	if r == nil {
		return nil
	}
	return &peerv1.RecordedResponse{Status: int32(r.Status), ContentType: r.ContentType, Body: r.Body}
}

func responseFromProto(p *peerv1.RecordedResponse) *claims.Response {
	if p == nil {
		return nil
	}
	return &claims.Response{Status: int(p.GetStatus()), ContentType: p.GetContentType(), Body: p.GetBody()}
}
