package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1/peerv1connect"
)

const (
	// tokenHeader is the header with the shared token of the peers.
	tokenHeader = "Authorization"
	tokenScheme = "Bearer "
	// dialTimeout bounds the connection setup to a peer.
	dialTimeout = time.Second
	// pingInterval is the interval of HTTP/2 pings on an idle connection, and their timeout. An unreachable peer is
	// detected after twice that time.
	pingInterval = 5 * time.Second
	// maxPeerMessageBytes bounds a message. The largest one contains a whole configuration.
	maxPeerMessageBytes = 64 << 20
	// minCompressBytes is the minimum size of a compressed message. Exchanges are smaller: compressing them would cost
	// more processor time than the saved bytes justify.
	minCompressBytes = 16 << 10
)

// NewDialer returns a dialer of clients over HTTP/2, in cleartext when tlsConfig is nil. Each address has one
// connection.
func NewDialer(token string, tlsConfig *tls.Config) Dialer {
	return NewDialerFrom(nil, token, tlsConfig)
}

// NewDialerFrom is like NewDialer and sets the source address. Nil lets the system choose it.
func NewDialerFrom(source net.IP, token string, tlsConfig *tls.Config) Dialer {
	client := &http.Client{Transport: newTransport(source, tlsConfig)}
	scheme := "http://"
	if tlsConfig != nil {
		scheme = "https://"
	}
	var mu sync.Mutex
	clients := make(map[string]peerv1connect.PeerServiceClient)
	return func(address string) peerv1connect.PeerServiceClient {
		mu.Lock()
		defer mu.Unlock()
		if c := clients[address]; c != nil {
			return c
		}
		c := peerv1connect.NewPeerServiceClient(client, scheme+address,
			connect.WithInterceptors(sendToken(token)),
			connect.WithCompressMinBytes(minCompressBytes),
			connect.WithReadMaxBytes(maxPeerMessageBytes))
		clients[address] = c
		return c
	}
}

func newTransport(source net.IP, tlsConfig *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	protocols := new(http.Protocols)
	if tlsConfig == nil {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	return &http.Transport{
		Protocols:       protocols,
		TLSClientConfig: tlsConfig,
		DialContext:     dialer.DialContext,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingInterval},
	}
}

// NewHTTPServer returns a server of the peer protocol over HTTP/2. tlsEnabled reports whether its listener uses TLS:
// then net/http offers HTTP/2 only if the TLS configuration of the server lists it.
func NewHTTPServer(server *Server, token string, tlsEnabled bool) *http.Server {
	path, handler := server.Handler(
		connect.WithInterceptors(checkToken(token)),
		connect.WithCompressMinBytes(minCompressBytes),
		connect.WithReadMaxBytes(maxPeerMessageBytes))
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	protocols := new(http.Protocols)
	protocols.SetHTTP2(tlsEnabled)
	protocols.SetUnencryptedHTTP2(!tlsEnabled)
	return &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		TLSConfig:         &tls.Config{NextProtos: []string{"h2"}},
		ReadHeaderTimeout: dialTimeout,
	}
}

func sendToken(token string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			if token != "" {
				request.Header().Set(tokenHeader, tokenScheme+token)
			}
			return next(ctx, request)
		}
	})
}

// checkToken rejects calls without the shared token. An empty token accepts all calls, for networks where mutual TLS
// authenticates peers.
func checkToken(token string) connect.Interceptor {
	want := []byte(tokenScheme + token)
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
			got := []byte(request.Header().Get(tokenHeader))
			if token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("peer token is missing or wrong"))
			}
			return next(ctx, request)
		}
	})
}
