package daemon

import (
	"context"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/mulberryglade/mulberryglade/pkg/adminapi"
	peerv1 "github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1"
	"github.com/mulberryglade/mulberryglade/pkg/gen/mulberryglade/peer/v1/peerv1connect"
)

// Wire breaks the connections of an instance between New and Run, as a partition or the end of its process does.
type Wire struct {
	daemon *Daemon

	mu    sync.Mutex
	conns []net.Conn
	ended bool
	// unreachable holds the peer addresses that the instance cannot reach.
	unreachable map[string]bool
}

const (
	// testPlanInterval shortens the tests; a plan of their few models takes less than a millisecond.
	testPlanInterval = 100 * time.Millisecond
	// testVerifyInterval shortens the time until placement notices a restarted engine.
	testVerifyInterval = 500 * time.Millisecond
	// TestLeaseTTL shortens the time until another instance looks at a placement lease, which is half of it.
	TestLeaseTTL = 3 * time.Second
)

// NewWire wraps the listeners and the peer dialer of an instance that does not run yet.
func NewWire(d *Daemon) *Wire {
	w := &Wire{daemon: d, unreachable: make(map[string]bool)}
	d.listeners.caller = &wiredListener{Listener: d.listeners.caller, wire: w}
	d.listeners.peer = &wiredListener{Listener: d.listeners.peer, wire: w}
	d.planInterval = testPlanInterval
	d.verifyInterval = testVerifyInterval
	d.leaseTTL = TestLeaseTTL
	dial := d.node.Dial
	d.node.Dial = func(address string) peerv1connect.PeerServiceClient {
		return wiredPeer{PeerServiceClient: dial(address), wire: w, address: address}
	}
	return w
}

// Crash ends the instance without any of the steps of a shutdown: its connections break at once, and what it still does
// until Run returns reaches neither callers nor peers. The caller cuts it off from the store first, so that it releases
// no lease and records no response.
func (w *Wire) Crash() {
	w.mu.Lock()
	w.ended = true
	conns := w.conns
	w.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	w.daemon.settings.Shutdown.GraceMs = 0
	w.daemon.settings.Shutdown.DrainMs = 1
	w.daemon.Stop()
}

// SetReachable begins or ends a partition towards a peer address.
func (w *Wire) SetReachable(address string, reachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable[address] = !reachable
}

// Status is the answer to the operators' status query.
func (d *Daemon) Status() adminapi.Status {
	return queries{daemon: d}.Status()
}

// SeenEndpoints is the answer to the operators' query of endpoints.
func (d *Daemon) SeenEndpoints() []adminapi.Endpoint {
	return queries{daemon: d}.Endpoints()
}

type wiredListener struct {
	net.Listener
	wire *Wire
}

// Accept implements net.Listener.
func (l *wiredListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.wire.mu.Lock()
		l.wire.conns = append(l.wire.conns, conn)
		ended := l.wire.ended
		l.wire.mu.Unlock()
		if !ended {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// wiredPeer refuses calls across a partition before they are sent, and loses the replies of those under way.
type wiredPeer struct {
	peerv1connect.PeerServiceClient
	wire    *Wire
	address string
}

var errUnreachable = errors.New("peer is unreachable")

func (p wiredPeer) check() error {
	p.wire.mu.Lock()
	defer p.wire.mu.Unlock()
	if p.wire.ended || p.wire.unreachable[p.address] {
		return connect.NewError(connect.CodeUnavailable, errUnreachable)
	}
	return nil
}

func wired[S any](p wiredPeer, call func() (*connect.Response[S], error)) (*connect.Response[S], error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	response, err := call()
	if unreachable := p.check(); unreachable != nil {
		return nil, unreachable
	}
	return response, err
}

// Exchange implements peerv1connect.PeerServiceClient.
func (p wiredPeer) Exchange(ctx context.Context, q *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return wired(p, func() (*connect.Response[peerv1.ExchangeResponse], error) {
		return p.PeerServiceClient.Exchange(ctx, q)
	})
}

// FetchConfig implements peerv1connect.PeerServiceClient.
func (p wiredPeer) FetchConfig(ctx context.Context, q *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	return wired(p, func() (*connect.Response[peerv1.FetchConfigResponse], error) {
		return p.PeerServiceClient.FetchConfig(ctx, q)
	})
}

// RedeemKey implements peerv1connect.PeerServiceClient.
func (p wiredPeer) RedeemKey(ctx context.Context, q *connect.Request[peerv1.RedeemKeyRequest]) (*connect.Response[peerv1.RedeemKeyResponse], error) {
	return wired(p, func() (*connect.Response[peerv1.RedeemKeyResponse], error) {
		return p.PeerServiceClient.RedeemKey(ctx, q)
	})
}

// CompleteKey implements peerv1connect.PeerServiceClient.
func (p wiredPeer) CompleteKey(ctx context.Context, q *connect.Request[peerv1.CompleteKeyRequest]) (*connect.Response[peerv1.CompleteKeyResponse], error) {
	return wired(p, func() (*connect.Response[peerv1.CompleteKeyResponse], error) {
		return p.PeerServiceClient.CompleteKey(ctx, q)
	})
}
