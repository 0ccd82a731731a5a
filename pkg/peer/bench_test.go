package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// countingListener counts the bytes of all connections that it accepts, in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{Conn: c, bytes: l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange measures one exchange of a pair over HTTP/2 on loopback: bytes in both directions and time of both
// sides. The parameter is the number of endpoints with calls of one instance, of which one in twelve changes between two
// exchanges, as with calls of 12 s and an interval of 1 s.
func BenchmarkExchange(b *testing.B) {
	for _, active := range []int{10, 50, 150, 450} {
		b.Run(fmt.Sprintf("endpoints=%d", active), func(b *testing.B) { benchmarkExchange(b, active) })
	}
}

func benchmarkExchange(b *testing.B, active int) {
	var bytes atomic.Int64
	a := benchNode("a", "")
	server := benchNode("b", "")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	httpServer := NewHTTPServer(NewServer(server, nil, nil), "", false)
	go func() { _ = httpServer.Serve(countingListener{Listener: listener, bytes: &bytes}) }()
	defer func(s *http.Server) { _ = s.Close() }(httpServer)
	address := listener.Addr().String()
	server.Self.Address = address

	random := rand.New(rand.NewPCG(1, 1))
	for _, n := range []*Node{a, server} {
		load := n.Local.(*fakeLocal).load
		for range active {
			load.Endpoints[random.Uint64()] = 1
		}
		for member := range 20 {
			load.Members[fmt.Sprintf("member-%d", member)] = MemberUsage{Service: 1}
		}
	}
	exchange := func() {
		a.Refresh()
		server.Refresh()
		if err := a.Exchange(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
	exchange()
	exchange()
	bytes.Store(0)
	for b.Loop() {
		churn(a, random, active)
		churn(server, random, active)
		exchange()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// churn ends one in twelve calls and starts as many at other endpoints; every member's service grows.
func churn(n *Node, random *rand.Rand, active int) {
	load := n.Local.(*fakeLocal).load
	const callSeconds = 12
	replaced := max(1, active/callSeconds)
	for hash := range load.Endpoints {
		if replaced == 0 {
			break
		}
		delete(load.Endpoints, hash)
		load.Endpoints[random.Uint64()] = 1
		replaced--
	}
	for name, u := range load.Members {
		u.Service += 100
		load.Members[name] = u
	}
}

func benchNode(id, token string) *Node {
	return NewNode(Options{
		Self:      Identity{InstanceID: id, Incarnation: "1", DataCentre: "x", Address: id},
		Interval:  time.Second,
		Local:     &fakeLocal{load: newLoad()},
		Sink:      &fakeSink{loads: make(map[string]Load)},
		Announcer: &fakeAnnouncer{seen: make(map[string]int64)},
		Control:   &fakeMeter{},
		Dial:      NewDialer(token, nil),
		Log:       zap.NewNop(),
		Scope:     tally.NoopScope,
	})
}
