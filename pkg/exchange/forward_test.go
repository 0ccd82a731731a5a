package exchange

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
)

const (
	forwardTestDelay = 5 * time.Millisecond
	forwardTestTime  = 6 * time.Second
)

// regionNetwork delivers datagrams between instances of two regions and counts those that cross from one to the other.
type regionNetwork struct {
	mu    sync.Mutex
	conns map[string]*regionConn
	// down are the addresses whose datagrams all get lost.
	down    map[string]bool
	crossed int
	// onWay are the datagrams that were sent and not yet delivered, by path.
	onWay map[string][][]byte
}

type regionConn struct {
	net.PacketConn
	network  *regionNetwork
	region   string
	address  string
	received chan []byte
	closed   chan struct{}
}

// WriteTo implements net.PacketConn.
func (c *regionConn) WriteTo(data []byte, to net.Addr) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	peer := c.network.conns[to.String()]
	if peer.region != c.region {
		c.network.crossed++
	}
	if c.network.down[c.address] || c.network.down[peer.address] {
		return len(data), nil
	}
	path := c.address + " " + peer.address
	c.network.onWay[path] = append(c.network.onWay[path], append([]byte(nil), data...))
	time.AfterFunc(forwardTestDelay, func() { c.network.deliverNext(path, peer) })
	return len(data), nil
}

// deliverNext delivers the first datagram that is on its way on a path, so that datagrams do not overtake each other there.
func (n *regionNetwork) deliverNext(path string, to *regionConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := n.onWay[path][0]
	n.onWay[path] = n.onWay[path][1:]
	select {
	case to.received <- next:
	case <-to.closed:
	}
}

// ReadFrom implements net.PacketConn.
func (c *regionConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	select {
	case data := <-c.received:
		return copy(buffer, data), nil, nil
	case <-c.closed:
		return 0, nil, errors.WithStack(net.ErrClosed)
	}
}

// Close implements net.PacketConn.
func (c *regionConn) Close() error {
	close(c.closed)
	return nil
}

// forwardTest is a deployment of two regions. The first instance of region a is the holder.
type forwardTest struct {
	network   *regionNetwork
	peers     []Peer
	exchanges []*Exchange
	mu        sync.Mutex
	// updates and regular count the messages of the holder that each instance has accepted, returned those that came back
	// to their sender.
	updates, regular map[string]int
	returned         int
}

func newForwardTest(t *testing.T, perRegion int) *forwardTest {
	f := &forwardTest{
		network: &regionNetwork{conns: make(map[string]*regionConn), down: make(map[string]bool), onWay: make(map[string][][]byte)},
		updates: make(map[string]int), regular: make(map[string]int),
	}
	for i := range 2 * perRegion {
		region := string("ab"[i/perRegion])
		p := Peer{Instance: fmt.Sprintf("%s-%d", region, i%perRegion+1), Region: region, Address: fmt.Sprintf("127.0.0.1:%d", 7000+i)}
		p.Forwards = i%perRegion < 4
		f.peers = append(f.peers, p)
	}
	for _, p := range f.peers {
		f.exchanges = append(f.exchanges, f.listen(t, p))
	}
	return f
}

func (f *forwardTest) listen(t *testing.T, own Peer) *Exchange {
	conn := &regionConn{network: f.network, region: own.Region, address: own.Address, received: make(chan []byte, 4096), closed: make(chan struct{})}
	f.network.conns[own.Address] = conn
	e, err := Listen(Options{
		Instance: own.Instance, Conn: conn, Log: zap.NewNop(),
		Holder: func() string { return "a-1" },
		Peers: func() []Peer {
			var others []Peer
			for _, p := range f.peers {
				if p.Instance == own.Instance {
					continue
				}
				p.SameRegion = p.Region == own.Region
				others = append(others, p)
			}
			return others
		},
		Compose: func(m *Message, _ Peer, info SendInfo) {
			if info.Reason == ReasonRegular {
				m.Work = []byte{}
			}
		},
		Receive: func(m *Message, _ time.Time) { f.receive(own.Instance, m) },
	})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func (f *forwardTest) receive(by string, m *Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case m.Instance == by:
		f.returned++
	case m.Instance != "a-1":
	case m.Work != nil:
		f.regular[by]++
	default:
		f.updates[by]++
	}
}

// run lets the instances exchange messages for forwardTestTime while the holder sends an update every 100 ms.
func (f *forwardTest) run() {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	for _, e := range f.exchanges {
		tasks.Go(func() { e.Run(ctx) })
	}
	for started := time.Now(); time.Since(started) < forwardTestTime; time.Sleep(100 * time.Millisecond) {
		f.exchanges[0].SendUpdate()
	}
	cancel()
	time.Sleep(time.Second)
	tasks.Wait()
}

// Guards against a link between regions that fills as the regions grow, because each instance tells each one of the other
// region the same news by itself.
func TestMessagesToAnotherRegionDoNotGrowWithItsInstances(t *testing.T) {
	crossed := func(perRegion int) (perInstance float64) {
		synctest.Test(t, func(t *testing.T) {
			f := newForwardTest(t, perRegion)
			f.run()
			perInstance = float64(f.network.crossed) / float64(perRegion)
			for _, p := range f.peers[perRegion:] {
				if f.updates[p.Instance] < 20 || f.regular[p.Instance] < 2 {
					t.Errorf("%s received %d updates and %d regular messages of the holder", p.Instance, f.updates[p.Instance], f.regular[p.Instance])
				}
			}
			if f.returned > 0 {
				t.Errorf("%d messages came back to their senders", f.returned)
			}
		})
		return perInstance
	}
	few, many := crossed(8), crossed(32)
	t.Logf("datagrams between regions for each instance: %.1f with 8 in a region, %.1f with 32", few, many)
	if many > few {
		t.Errorf("%.1f datagrams to the other region for each instance, %.1f with a quarter of the instances", many, few)
	}
}

// Guards against a region that hears nothing of another one while one of its forwarders is down, which each sender uses in
// its turn.
func TestMessagesToAnotherRegionSurviveAForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newForwardTest(t, 8)
		f.network.down[f.peers[9].Address] = true
		f.run()
		for _, p := range f.peers[8:] {
			if p.Address != f.peers[9].Address && (f.updates[p.Instance] < 20 || f.regular[p.Instance] < 4) {
				t.Errorf("%s received %d updates and %d regular messages of the holder", p.Instance, f.updates[p.Instance], f.regular[p.Instance])
			}
		}
	})
}

// Guards against datagrams that make instances forward without end, or a mark that is taken for a part of the message.
func TestForwardMarkIsCutOnce(t *testing.T) {
	for _, c := range []struct {
		datagram, message string
		forward           bool
	}{{"{}", "{}", false}, {"F{}", "{}", true}, {"FF{}", "FF{}", false}, {"F", "F", false}, {"", "", false}} {
		if message, forward := cutForwardMark([]byte(c.datagram)); string(message) != c.message || forward != c.forward {
			t.Errorf("%q: message %q, forward %v", c.datagram, message, forward)
		}
	}
}
