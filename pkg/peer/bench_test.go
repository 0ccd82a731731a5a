package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
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

// pairState is what one instance of a pair tells in the benchmark of the exchange.
type pairState struct {
	// active is the number of endpoints with calls, of which one in twelve changes between two exchanges, as with calls of
	// 12 s and an interval of 1 s.
	active int
	// members all consume between two exchanges.
	members int
	// reports is the number of endpoints that the instance polls. Their running calls change by up to two, and those of one
	// in fifty load an artifact.
	reports int
	// arrivals is the number of models with arrivals between two exchanges.
	arrivals int
}

// BenchmarkExchange measures one exchange of a pair over HTTP/2 on loopback: bytes in both directions and time of both
// sides, against each part of the state.
func BenchmarkExchange(b *testing.B) {
	cases := []struct {
		name  string
		sizes []int
		state func(n int) pairState
	}{
		{"endpoints", []int{10, 50, 150, 450}, func(n int) pairState { return pairState{active: n, members: 20} }},
		{"members", []int{1, 20, 50, 100}, func(n int) pairState { return pairState{members: n} }},
		{"reports", []int{1, 14, 50, 100}, func(n int) pairState { return pairState{members: 1, reports: n} }},
		{"arrivals", []int{1, 27, 100, 200}, func(n int) pairState { return pairState{members: 1, arrivals: n} }},
	}
	for _, c := range cases {
		for _, n := range c.sizes {
			b.Run(fmt.Sprintf("%s=%d", c.name, n), func(b *testing.B) { benchmarkExchange(b, c.state(n)) })
		}
	}
}

func benchmarkExchange(b *testing.B, state pairState) {
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
		for range state.active {
			load.Endpoints[random.Uint64()] = 1
		}
		for range state.reports {
			load.Reports[random.Uint64()] = EndpointReport{Load: ReportLoad{Running: 10, PrefillTokensPerSecond: 5000, DecodeTokensPerSecond: 400}}
		}
		for member := range state.members {
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
		churn(a, random, state)
		churn(server, random, state)
		exchange()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// churn changes the state of one instance between two exchanges.
func churn(n *Node, random *rand.Rand, state pairState) {
	load := n.Local.(*fakeLocal).load
	const callSeconds = 12
	replaced := (state.active + callSeconds - 1) / callSeconds
	churnReports(load, random)
	for range state.arrivals {
		name := fmt.Sprintf("organisation-model-%04d", random.IntN(1700))
		d := load.Models[name]
		load.Models[name] = ModelDemand{Requests: d.Requests + 1, Tokens: d.Tokens + 1200}
	}
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

func churnReports(load Load, random *rand.Rand) {
	for hash, r := range load.Reports {
		// The sum of two draws is a rounded distribution with a deviation of about two calls, as with two calls that start
		// and two that end between two exchanges.
		r.Load.Running = uint32(max(0, int(r.Load.Running)+random.IntN(4)+random.IntN(4)-3))
		r.Load.KVCacheThousandths = 30 * r.Load.Running
		r.PolledAt = time.Now()
		if r.Inventory == nil || random.IntN(50) == 0 {
			r.Inventory = benchInventory(random)
		}
		load.Reports[hash] = r
	}
}

func benchInventory(random *rand.Rand) *Inventory {
	i := &Inventory{Incarnation: fmt.Sprintf("%016x", random.Uint64()), Role: "serve", MaxRunning: 32}
	for range 5 {
		i.Artifacts = append(i.Artifacts, Artifact{
			Kind: ModelArtifact, Name: fmt.Sprintf("organisation-model-%04d", random.IntN(1700)), Version: "3", State: Loaded,
		})
	}
	return i
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

// BenchmarkCentreSum measures the message that carries the sum of a data centre to one other instance, against its
// endpoints. Between two sums the calls at each endpoint change with a deviation of four, as when half of them end.
func BenchmarkCentreSum(b *testing.B) {
	for _, size := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			e := newEmitter("dc:x", 1)
			e.tolerance = &betweenDataCentres
			load := newLoad()
			for range size {
				load.Reports[random.Uint64()] = EndpointReport{Inventory: benchInventory(random)}
			}
			refill := func() {
				for hash, r := range load.Reports {
					r.Load = ReportLoad{Running: uint32(max(0, 10+3*random.NormFloat64())), DecodeTokensPerSecond: 400}
					load.Reports[hash] = r
				}
			}
			refill()
			e.update(load)
			var bytes, full int
			for b.Loop() {
				refill()
				held := acknowledgement{epoch: 1, sequence: e.sequence}
				e.update(load)
				bytes += proto.Size(e.message(held, time.Now()))
				full = proto.Size(e.message(acknowledgement{}, time.Now()))
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "delta-B/op")
			b.ReportMetric(float64(full), "full-B")
		})
	}
}

// BenchmarkMemory measures what a node keeps for each peer of its data centre with its load, and for each known peer
// elsewhere.
func BenchmarkMemory(b *testing.B) {
	for _, peers := range []int{28, 112, 448} {
		b.Run(fmt.Sprintf("mesh=%d", peers), func(b *testing.B) { benchmarkMemory(b, peers, true) })
		b.Run(fmt.Sprintf("elsewhere=%d", peers), func(b *testing.B) { benchmarkMemory(b, peers, false) })
	}
}

func benchmarkMemory(b *testing.B, peers int, mesh bool) {
	var n *Node
	before := heap()
	for b.Loop() {
		random := rand.New(rand.NewPCG(1, 1))
		n = benchNode("self", "")
		for i := range peers {
			identity := Identity{
				InstanceID: fmt.Sprintf("instance-%04d", i), Incarnation: fmt.Sprintf("%032x", i),
				DataCentre: fmt.Sprint("x-", i%14), Region: "region", Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			}
			n.Table.Heard(identity, Presence{})
			if mesh {
				receiveLoad(b, n, identity.InstanceID, random)
			}
		}
	}
	b.ReportMetric((heap()-before)/float64(peers), "retainedB/peer")
	runtime.KeepAlive(n)
}

// receiveLoad absorbs the load that an instance of the design size sends: the reports of 14 endpoints and 20 members.
func receiveLoad(b *testing.B, n *Node, id string, random *rand.Rand) {
	load := newLoad()
	for range 14 {
		load.Reports[random.Uint64()] = EndpointReport{Load: ReportLoad{Running: 10}, Inventory: benchInventory(random)}
	}
	for member := range 20 {
		load.Members[fmt.Sprintf("member-%d", member)] = MemberUsage{Service: 1}
	}
	e := newEmitter(id, 1)
	e.update(load)
	got, ok := n.inbox.apply(id, e.message(acknowledgement{}, time.Now()))
	if !ok {
		b.Fatal("message was not applied")
	}
	n.Sink.SetLoad(id, got)
	n.linkOf(id)
}

func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
