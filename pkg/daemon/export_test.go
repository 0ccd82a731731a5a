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

// ConnectionFaults breaks the connections of an instance as a partition or the end of its process does. It is set up
// between New and Run.
type ConnectionFaults struct {
	daemon *Daemon

	mu      sync.Mutex
	conns   []net.Conn
	crashed bool
	// unreachable holds the peer addresses that the instance cannot reach.
	unreachable map[string]bool
}

const (
	// testPlanInterval is short to shorten the tests; a plan of their few models takes less than a millisecond.
	testPlanInterval = 100 * time.Millisecond
	// testVerifyInterval bounds the time until placement detects a restarted engine.
	testVerifyInterval = 500 * time.Millisecond
	// TestLeaseTTL is short, since another instance checks a placement lease only after half of it.
	TestLeaseTTL = 3 * time.Second
)

// NewConnectionFaults wraps the listeners and the peer dialer of an instance that does not run yet.
func NewConnectionFaults(d *Daemon) *ConnectionFaults {
	f := &ConnectionFaults{daemon: d, unreachable: make(map[string]bool)}
	d.listeners.caller = &faultyListener{Listener: d.listeners.caller, faults: f}
	d.listeners.peer = &faultyListener{Listener: d.listeners.peer, faults: f}
	d.planInterval = testPlanInterval
	d.verifyInterval = testVerifyInterval
	d.leaseTTL = TestLeaseTTL
	dial := d.peerNode.Dial
	d.peerNode.Dial = func(address string) peerv1connect.PeerServiceClient {
		return faultyPeer{PeerServiceClient: dial(address), faults: f, address: address}
	}
	return f
}

// Crash ends the instance without the steps of a graceful shutdown: its connections break at once, and until Run
// returns it can reach neither callers nor peers. The test must cut the instance off from the store first, so that it
// releases no lease and records no response.
func (f *ConnectionFaults) Crash() {
	f.mu.Lock()
	f.crashed = true
	conns := f.conns
	f.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	f.daemon.settings.Shutdown.GraceMs = 0
	f.daemon.settings.Shutdown.DrainMs = 1
	f.daemon.Stop()
}

// SetReachable ends or begins a partition of the calls from the instance to a peer address. Calls from that peer are
// not affected.
func (f *ConnectionFaults) SetReachable(address string, reachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[address] = !reachable
}

// Status returns the result of the operators' status query.
func (d *Daemon) Status() adminapi.Status {
	return queries{daemon: d}.Status()
}

// EndpointList returns the result of the operators' query of endpoints.
func (d *Daemon) EndpointList() []adminapi.Endpoint {
	return queries{daemon: d}.Endpoints()
}

type faultyListener struct {
	net.Listener
	faults *ConnectionFaults
}

// Accept implements net.Listener.
func (l *faultyListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.faults.mu.Lock()
		l.faults.conns = append(l.faults.conns, conn)
		crashed := l.faults.crashed
		l.faults.mu.Unlock()
		if !crashed {
			return conn, nil
		}
		_ = conn.Close()
	}
}

// faultyPeer fails calls across a partition before they are sent, and drops the replies of calls in progress.
type faultyPeer struct {
	peerv1connect.PeerServiceClient
	faults  *ConnectionFaults
	address string
}

var errUnreachable = errors.New("peer is unreachable")

func (p faultyPeer) checkReachable() error {
	p.faults.mu.Lock()
	defer p.faults.mu.Unlock()
	if p.faults.crashed || p.faults.unreachable[p.address] {
		return connect.NewError(connect.CodeUnavailable, errUnreachable)
	}
	return nil
}

func callPeer[S any](p faultyPeer, call func() (*connect.Response[S], error)) (*connect.Response[S], error) {
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	response, err := call()
	if unreachable := p.checkReachable(); unreachable != nil {
		return nil, unreachable
	}
	return response, err
}

// Exchange implements peerv1connect.PeerServiceClient.
func (p faultyPeer) Exchange(ctx context.Context, request *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	return callPeer(p, func() (*connect.Response[peerv1.ExchangeResponse], error) {
		return p.PeerServiceClient.Exchange(ctx, request)
	})
}

// FetchConfig implements peerv1connect.PeerServiceClient.
func (p faultyPeer) FetchConfig(ctx context.Context, request *connect.Request[peerv1.FetchConfigRequest]) (*connect.Response[peerv1.FetchConfigResponse], error) {
	return callPeer(p, func() (*connect.Response[peerv1.FetchConfigResponse], error) {
		return p.PeerServiceClient.FetchConfig(ctx, request)
	})
}

// RedeemKey implements peerv1connect.PeerServiceClient.
func (p faultyPeer) RedeemKey(ctx context.Context, request *connect.Request[peerv1.RedeemKeyRequest]) (*connect.Response[peerv1.RedeemKeyResponse], error) {
	return callPeer(p, func() (*connect.Response[peerv1.RedeemKeyResponse], error) {
		return p.PeerServiceClient.RedeemKey(ctx, request)
	})
}

// CompleteKey implements peerv1connect.PeerServiceClient.
func (p faultyPeer) CompleteKey(ctx context.Context, request *connect.Request[peerv1.CompleteKeyRequest]) (*connect.Response[peerv1.CompleteKeyResponse], error) {
	return callPeer(p, func() (*connect.Response[peerv1.CompleteKeyResponse], error) {
		return p.PeerServiceClient.CompleteKey(ctx, request)
	})
}
