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

// benchState is the size of the state of one instance in BenchmarkExchange.
type benchState struct {
	// active is the number of endpoints with calls. One in twelve changes between two exchanges, as with calls of 12 s and
	// an interval of 1 s.
	active int
	// members is the number of members, which all consume service between two exchanges.
	members int
	// reports is the number of endpoints that the instance polls. Between two exchanges their running calls change with a
	// deviation of about two, and one endpoint in fifty changes its artifacts.
	reports int
	// arrivals is the number of models with arrivals between two exchanges.
	arrivals int
}

// BenchmarkExchange measures one exchange between two instances over HTTP/2 on loopback against the size of each kind
// of state: the bytes in both directions and the time of both sides.
func BenchmarkExchange(b *testing.B) {
	cases := []struct {
		name  string
		sizes []int
		state func(n int) benchState
	}{
		{"endpoints", []int{10, 50, 150, 450}, func(n int) benchState { return benchState{active: n, members: 20} }},
		{"members", []int{1, 20, 50, 100}, func(n int) benchState { return benchState{members: n} }},
		{"reports", []int{1, 14, 50, 100}, func(n int) benchState { return benchState{members: 1, reports: n} }},
		{"arrivals", []int{1, 27, 100, 200}, func(n int) benchState { return benchState{members: 1, arrivals: n} }},
	}
	for _, c := range cases {
		for _, n := range c.sizes {
			b.Run(fmt.Sprintf("%s=%d", c.name, n), func(b *testing.B) { benchmarkExchange(b, c.state(n)) })
		}
	}
}

func benchmarkExchange(b *testing.B, state benchState) {
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
		changeState(a, random, state)
		changeState(server, random, state)
		exchange()
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

// changeState changes the state of one instance between two exchanges.
func changeState(n *Node, random *rand.Rand, state benchState) {
	load := n.Local.(*fakeLocal).load
	const callSeconds = 12
	replaced := (state.active + callSeconds - 1) / callSeconds
	changeReports(load, random)
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

func changeReports(load Load, random *rand.Rand) {
	for hash, r := range load.Reports {
		// The sum of two uniform draws approximates a normal distribution. Its deviation is about two calls, as with two
		// calls that start and two that end between two exchanges.
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
		Announcer: &fakeAnnouncer{announced: make(map[string]int64)},
		Control:   &fakeMeter{},
		Dial:      NewDialer(token, nil),
		Log:       zap.NewNop(),
		Scope:     tally.NoopScope,
	})
}

// BenchmarkDataCentreLoad measures the size of the message with the sum of a data centre against its number of
// endpoints. Between two sums the calls at each endpoint change with a deviation of four, as when half of them end.
func BenchmarkDataCentreLoad(b *testing.B) {
	for _, size := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("endpoints=%d", size), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			e := newDeltaEncoder("dc:x", 1)
			e.tolerance = &interDataCentreTolerance
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
				acknowledged := acknowledgement{epoch: 1, sequence: e.sequence}
				e.update(load)
				bytes += proto.Size(e.message(acknowledged, time.Now()))
				full = proto.Size(e.message(acknowledgement{}, time.Now()))
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "delta-B/op")
			b.ReportMetric(float64(full), "full-B")
		})
	}
}

// BenchmarkMemory measures the heap memory of a node for each peer of its data centre with its load, and for each known
// peer of other data centres.
func BenchmarkMemory(b *testing.B) {
	for _, peers := range []int{28, 112, 448} {
		b.Run(fmt.Sprintf("mesh=%d", peers), func(b *testing.B) { benchmarkMemory(b, peers, true) })
		b.Run(fmt.Sprintf("elsewhere=%d", peers), func(b *testing.B) { benchmarkMemory(b, peers, false) })
	}
}

func benchmarkMemory(b *testing.B, peers int, mesh bool) {
	var n *Node
	before := heapBytes()
	for b.Loop() {
		random := rand.New(rand.NewPCG(1, 1))
		n = benchNode("self", "")
		for i := range peers {
			identity := Identity{
				InstanceID: fmt.Sprintf("instance-%04d", i), Incarnation: fmt.Sprintf("%032x", i),
				DataCentre: fmt.Sprint("x-", i%14), Region: "region", Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			}
			n.Table.RecordExchange(identity, Presence{})
			if mesh {
				receiveLoad(b, n, identity.InstanceID, random)
			}
		}
	}
	b.ReportMetric((heapBytes()-before)/float64(peers), "retainedB/peer")
	runtime.KeepAlive(n)
}

// receiveLoad applies the load that an instance of the design size sends: the reports of 14 endpoints and 20 members.
func receiveLoad(b *testing.B, n *Node, id string, random *rand.Rand) {
	load := newLoad()
	for range 14 {
		load.Reports[random.Uint64()] = EndpointReport{Load: ReportLoad{Running: 10}, Inventory: benchInventory(random)}
	}
	for member := range 20 {
		load.Members[fmt.Sprintf("member-%d", member)] = MemberUsage{Service: 1}
	}
	e := newDeltaEncoder(id, 1)
	e.update(load)
	got, ok := n.loadReceiver.apply(id, e.message(acknowledgement{}, time.Now()))
	if !ok {
		b.Fatal("message was not applied")
	}
	n.Sink.SetLoad(id, got)
	n.peerStateOf(id)
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
