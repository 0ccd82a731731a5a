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

// Bundle is a group of encoded configuration records and the digest of its content.
type Bundle struct {
	Digest  string
	Content []byte
}

// ConfigServer provides the configuration that this instance serves to peers.
type ConfigServer interface {
	// Newer returns the revision, the head manifest and the bundles whose digests are not in have. The revision is zero
	// when this instance has none above known.
	Newer(known int64, have []string) (revision int64, head []byte, bundles []Bundle)
}

// Server implements the peer protocol.
type Server struct {
	node   *Node
	config ConfigServer
	keys   claims.Redeemer
}

var _ peerv1connect.PeerServiceHandler = (*Server)(nil)

// NewServer returns the handler of the peer protocol.
func NewServer(node *Node, config ConfigServer, keys claims.Redeemer) *Server {
	return &Server{node: node, config: config, keys: keys}
}

// Handler returns the HTTP path and the handler. Interceptors in options authenticate peers.
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
	s.node.applyMessage(m)
	if _, known := s.node.Table.Find(id); !known {
		id = ""
	}
	reply := s.node.buildMessage(id)
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
func (s *Server) RedeemKey(_ context.Context, request *connect.Request[peerv1.RedeemKeyRequest]) (*connect.Response[peerv1.RedeemKeyResponse], error) {
	m := request.Msg
	redeem := claims.RedeemRequest{
		Request:    claims.Request{Member: m.GetMember(), Key: m.GetKey()},
		Redemption: m.GetRedemption(),
	}
	if copy(redeem.Hash[:], m.GetRequestHash()) != len(redeem.Hash) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("request hash must have 32 bytes"))
	}
	if m.GetIncarnation() != s.node.Self.Incarnation {
		return connect.NewResponse(&peerv1.RedeemKeyResponse{State: peerv1.KeyState_KEY_STATE_UNKNOWN}), nil
	}
	result := s.keys.Redeem(redeem)
	return connect.NewResponse(&peerv1.RedeemKeyResponse{
		State:    stateToProto(result.State),
		Response: responseToProto(result.Response),
	}), nil
}

// CompleteKey implements the peer protocol.
func (s *Server) CompleteKey(_ context.Context, request *connect.Request[peerv1.CompleteKeyRequest]) (*connect.Response[peerv1.CompleteKeyResponse], error) {
	m := request.Msg
	if m.GetIncarnation() != s.node.Self.Incarnation {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("key was issued by another incarnation"))
	}
	if !m.GetReleased() && m.GetResponse() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("completion without a response"))
	}
	complete := claims.CompleteRequest{
		Member:     m.GetMember(),
		Key:        m.GetKey(),
		Redemption: m.GetRedemption(),
		Released:   m.GetReleased(),
	}
	if response := responseFromProto(m.GetResponse()); response != nil {
		complete.Response = *response
	}
	if err := s.keys.Complete(complete); err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewResponse(&peerv1.CompleteKeyResponse{}), nil
}

// keyStates maps the states of issued keys to their protocol values. Other states are sent as unknown.
var keyStates = map[claims.KeyState]peerv1.KeyState{
	claims.KeyUnknown:    peerv1.KeyState_KEY_STATE_UNKNOWN,
	claims.KeyGranted:    peerv1.KeyState_KEY_STATE_GRANTED,
	claims.KeyInProgress: peerv1.KeyState_KEY_STATE_IN_PROGRESS,
	claims.KeyCompleted:  peerv1.KeyState_KEY_STATE_COMPLETED,
	claims.KeyReused:     peerv1.KeyState_KEY_STATE_REUSED,
	claims.KeyExpired:    peerv1.KeyState_KEY_STATE_EXPIRED,
}

func stateToProto(state claims.KeyState) peerv1.KeyState {
	if p, known := keyStates[state]; known {
		return p
	}
	return peerv1.KeyState_KEY_STATE_UNKNOWN
}

func stateFromProto(p peerv1.KeyState) claims.KeyState {
	for state, value := range keyStates {
		if value == p {
			return state
		}
	}
	return claims.KeyUnknown
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
